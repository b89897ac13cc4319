#include "verbenawell/adapters/http/HttpParser.h"

#include <string>
#include <type_traits>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace verbenawell::http {

namespace beast = boost::beast;

template<typename Message>
struct Parser<Message>::Impl
{
  static constexpr bool kIsRequest = std::is_same_v<Message, Request>;
  using BeastParser = beast::http::parser<kIsRequest, beast::http::string_body>;

  explicit Impl(ParserLimits aLimits)
    : limits_(aLimits)
  {
    Reset();
  }

  void Reset()
  {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits_.headerBytes_));
    parser_->body_limit(limits_.bodyBytes_);
  }

  void Fail(const beast::error_code& aError)
  {
    if (aError == beast::http::error::header_limit) {
      error_ = ParseError::HeaderTooLarge;
    } else if (aError == beast::http::error::body_limit) {
      error_ = ParseError::BodyTooLarge;
    } else {
      error_ = ParseError::Malformed;
    }
  }

  // The parser waits for the end of a head, a chunk header or the trailers
  // without a limit of its own on the last two.
  void CheckUnparsed()
  {
    if (!error_ && !parser_->is_done() &&
        bytes_.size() > limits_.headerBytes_) {
      error_ = ParseError::HeaderTooLarge;
    }
    if (error_) {
      std::string().swap(bytes_);
    }
  }

  void Advance()
  {
    while (!error_ && !parser_->is_done() && !bytes_.empty()) {
      beast::error_code error;
      const std::size_t used =
        parser_->put(boost::asio::buffer(bytes_.data(), bytes_.size()), error);
      bytes_.erase(0, used);
      if (error == beast::http::error::need_more) {
        return;
      }
      if (error) {
        Fail(error);
      }
      if (used == 0) {
        return;
      }
    }
  }

  ParserLimits limits_;
  std::string bytes_;
  std::optional<BeastParser> parser_;
  std::optional<ParseError> error_;
  bool wantsClose_ = false;
};

template<typename Message>
Parser<Message>::Parser(ParserLimits aLimits)
  : impl_(std::make_unique<Impl>(aLimits))
{
}

template<typename Message>
Parser<Message>::~Parser() = default;

template<typename Message>
Parser<Message>::Parser(Parser&&) noexcept = default;

template<typename Message>
Parser<Message>&
Parser<Message>::operator=(Parser&&) noexcept = default;

template<typename Message>
void
Parser<Message>::Feed(std::string_view aBytes)
{
  if (impl_->error_) {
    return;
  }
  impl_->bytes_ += aBytes;
  impl_->Advance();
  impl_->CheckUnparsed();
}

template<typename Message>
void
Parser<Message>::FeedEnd()
{
  beast::error_code error;
  if (impl_->parser_->got_some() && !impl_->parser_->is_done()) {
    impl_->parser_->put_eof(error);
    if (error) {
      impl_->Fail(error);
    }
  }
}

template<typename Message>
std::optional<Message>
Parser<Message>::ConsumeMessage()
{
  if (impl_->error_ || !impl_->parser_->is_done()) {
    return std::nullopt;
  }
  impl_->wantsClose_ = !impl_->parser_->keep_alive();
  auto parsed = impl_->parser_->release();
  Message message;
  for (const auto& field : parsed) {
    message.headers_.push_back(
      { std::string(field.name_string().data(), field.name_string().size()),
        std::string(field.value().data(), field.value().size()) });
  }
  if constexpr (Impl::kIsRequest) {
    message.method_ =
      std::string(parsed.method_string().data(), parsed.method_string().size());
    message.target_ =
      std::string(parsed.target().data(), parsed.target().size());
  } else {
    message.status_ = static_cast<int>(parsed.result_int());
  }
  message.body_ = std::move(parsed.body());
  impl_->Reset();
  impl_->Advance();
  impl_->CheckUnparsed();
  return message;
}

template<typename Message>
std::optional<ParseError>
Parser<Message>::Error() const
{
  return impl_->error_;
}

template<typename Message>
std::size_t
Parser<Message>::BufferedBytes() const
{
  return impl_->bytes_.size() + impl_->parser_->get().body().size();
}

template<typename Message>
bool
Parser<Message>::IsInMessage() const
{
  return impl_->parser_->got_some() || !impl_->bytes_.empty();
}

template<typename Message>
bool
Parser<Message>::WantsClose() const
{
  return impl_->wantsClose_;
}

template class Parser<Request>;
template class Parser<Response>;

} // namespace verbenawell::http
