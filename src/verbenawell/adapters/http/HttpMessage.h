#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace verbenawell::http {

struct Header
{
  std::string name_;
  std::string value_;
};

struct Request
{
  std::string method_;
  std::string target_;
  std::vector<Header> headers_;
  std::string body_;

  /// The value of a header, whose name is compared without case; or empty.
  [[nodiscard]] std::string_view Find(std::string_view aName) const;
};

struct Response
{
  int status_ = 0;
  std::vector<Header> headers_;
  std::string body_;
};

/// No whole response came.
struct Failure
{
  /// The request may have arrived.
  bool sent_ = false;
};

using Result = std::variant<Response, Failure>;

/// Appends a request for `aHost` as it goes over the wire.
std::string
Serialize(const Request& aRequest, std::string_view aHost);

std::string
Serialize(const Response& aResponse, bool aClose);

} // namespace verbenawell::http
