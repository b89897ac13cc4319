#pragma once

#include "verbenawell/adapters/http/HttpMessage.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace verbenawell::http {

struct ParserLimits
{
  /// For a whole head, and for each other part that is read as a whole: a chunk
  /// header, the trailers.
  std::size_t headerBytes_ = 16'384;
  std::size_t bodyBytes_ = 0;
};

enum class ParseError
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

/// Incremental parser for a stream of HTTP messages.
template<typename Message>
class Parser
{
public:
  explicit Parser(ParserLimits aLimits);
  ~Parser();
  Parser(Parser&&) noexcept;
  Parser& operator=(Parser&&) noexcept;

  /// Adds received bytes to the stream. After an error they are discarded.
  void Feed(std::string_view aBytes);

  /// Removes and returns the next complete message; empty if it has not arrived
  /// completely, or after an error.
  std::optional<Message> ConsumeMessage();

  /// Marks the end of the connection, which completes a message that declares
  /// no length.
  void FeedEnd();

  [[nodiscard]] std::optional<ParseError> Error() const;
  /// Number of bytes that are kept for messages that are not consumed yet.
  [[nodiscard]] std::size_t BufferedBytes() const;
  /// Tells whether a part of a message has arrived.
  [[nodiscard]] bool IsInMessage() const;
  /// Tells whether the last returned message asked to close the connection.
  [[nodiscard]] bool WantsClose() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

extern template class Parser<Request>;
extern template class Parser<Response>;

} // namespace verbenawell::http
