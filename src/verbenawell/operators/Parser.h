#pragma once

#include "verbenawell/operators/Command.h"

#include <string_view>
#include <variant>

namespace verbenawell {

/// Parses one command of the operators' language.
std::variant<Command, CommandSyntaxError>
ParseCommand(std::string_view aText);

/// The grammar of the language, as the command `help` prints it.
std::string_view
GrammarText();

} // namespace verbenawell
