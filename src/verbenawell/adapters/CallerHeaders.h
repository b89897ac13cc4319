#pragma once

#include "verbenawell/requests/RequestHead.h"

#include <string>
#include <variant>

#include <httplib.h>

namespace verbenawell {

/// Parses the headers of a caller's request. On failure, returns an error
/// message that names the invalid header.
std::variant<RequestHead, std::string>
ParseRequestHead(const httplib::Request& aRequest);

} // namespace verbenawell
