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

  /// The value of a header, or empty if there is none. Header names are
  /// case-insensitive.
  [[nodiscard]] std::string_view Find(std::string_view aName) const;
};

struct Response
{
  int status_ = 0;
  std::vector<Header> headers_;
  std::string body_;
};

/// No complete response was received.
struct Failure
{
  /// The request may have reached the server.
  bool mayHaveArrived_ = false;
};

using Result = std::variant<Response, Failure>;

/// Serializes a request to `aHost`.
std::string
Serialize(const Request& aRequest, std::string_view aHost);

std::string
Serialize(const Response& aResponse, bool aClose);

} // namespace verbenawell::http
