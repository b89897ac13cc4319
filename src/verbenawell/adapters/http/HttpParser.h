#pragma once

#include "verbenawell/adapters/http/HttpMessage.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace verbenawell::http {

struct ParserLimits
{
  std::size_t headerBytes_ = 16'384;
  std::size_t bodyBytes_ = 0;
};

enum class ParseError
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

/// Takes messages from a stream of bytes that arrives in pieces.
template<typename Message>
class Parser
{
public:
  explicit Parser(ParserLimits aLimits);
  ~Parser();
  Parser(Parser&&) noexcept;
  Parser& operator=(Parser&&) noexcept;

  /// Adds bytes; a whole message can then be taken.
  void Feed(std::string_view aBytes);

  /// The next whole message; empty if it has not arrived, or after an error.
  std::optional<Message> TakeMessage();

  /// Ends a message whose length is given by the end of the connection.
  void FeedEnd();

  [[nodiscard]] std::optional<ParseError> Error() const;
  /// Tells whether a part of a message has arrived.
  [[nodiscard]] bool IsInMessage() const;
  /// Tells whether the last taken message asked to close the connection.
  [[nodiscard]] bool WantsClose() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

extern template class Parser<Request>;
extern template class Parser<Response>;

} // namespace verbenawell::http
