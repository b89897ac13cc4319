#pragma once

#include "verbenawell/requests/RequestHead.h"

#include <string>
#include <variant>

#include <httplib.h>

namespace verbenawell {

/// Reads the head of a caller's request, or says which header is wrong.
std::variant<RequestHead, std::string>
ReadRequestHead(const httplib::Request& aRequest);

} // namespace verbenawell
