#include "verbenawell/adapters/http/HttpMessage.h"

#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace verbenawell::http {

namespace {

void
AddHeaders(std::string& aText, const std::vector<Header>& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    aText += name;
    aText += ": ";
    aText += value;
    aText += "\r\n";
  }
}

} // namespace

std::string_view
Request::Find(std::string_view aName) const
{
  for (const auto& [name, value] : headers_) {
    if (boost::beast::iequals({ name.data(), name.size() },
                              { aName.data(), aName.size() })) {
      return value;
    }
  }
  return {};
}

std::string
Serialize(const Request& aRequest, std::string_view aHost)
{
  std::string text =
    aRequest.method_ + " " + aRequest.target_ + " HTTP/1.1\r\n";
  text += "Host: ";
  text += aHost;
  text += "\r\n";
  AddHeaders(text, aRequest.headers_);
  if (!aRequest.body_.empty() || aRequest.method_ == "POST") {
    text += "Content-Length: " + std::to_string(aRequest.body_.size()) + "\r\n";
  }
  text += "\r\n";
  text += aRequest.body_;
  return text;
}

std::string
Serialize(const Response& aResponse, bool aClose)
{
  const auto reason =
    boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(
      static_cast<unsigned>(aResponse.status_)));
  std::string text = "HTTP/1.1 " + std::to_string(aResponse.status_) + " ";
  text.append(reason.data(), reason.size());
  text += "\r\n";
  AddHeaders(text, aResponse.headers_);
  if (aClose) {
    text += "Connection: close\r\n";
  }
  text += "Content-Length: " + std::to_string(aResponse.body_.size());
  text += "\r\n\r\n";
  text += aResponse.body_;
  return text;
}

} // namespace verbenawell::http
