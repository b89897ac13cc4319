#include "verbenawell/operators/internal/WordReader.h"

#include <algorithm>
#include <charconv>

namespace verbenawell {

WordReader::WordReader(std::string_view aText)
  : end_(aText.size() + 1)
{
  constexpr std::string_view kSpace = " \t\r\n";
  std::size_t at = 0;
  while ((at = aText.find_first_not_of(kSpace, at)) != std::string_view::npos) {
    const std::size_t end =
      std::min(aText.find_first_of(kSpace, at), aText.size());
    words_.push_back({ std::string(aText.substr(at, end - at)), at + 1 });
    at = end;
  }
}

bool
WordReader::ConsumeIf(std::string_view aWord)
{
  if (!IsAtEnd() && words_[next_].text_ == aWord) {
    ++next_;
    return true;
  }
  return false;
}

void
WordReader::Expect(std::string_view aWord)
{
  if (!ConsumeIf(aWord)) {
    Fail("\"" + std::string(aWord) + "\"");
  }
}

std::string
WordReader::ConsumeName(std::string_view aWhat)
{
  constexpr std::size_t kMaxNameLength = 200;
  if (IsAtEnd()) {
    Fail(aWhat);
  }
  if (words_[next_].text_.size() > kMaxNameLength) {
    Fail("a name of at most 200 characters");
  }
  return words_[next_++].text_;
}

std::uint32_t
WordReader::ConsumeNumber(std::string_view aWhat)
{
  if (IsAtEnd()) {
    Fail(aWhat);
  }
  const std::string& text = words_[next_].text_;
  std::uint32_t value = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    Fail(aWhat);
  }
  ++next_;
  return value;
}

std::string
WordReader::ConsumeRest()
{
  std::string rest;
  while (!IsAtEnd()) {
    rest += (rest.empty() ? "" : " ") + words_[next_++].text_;
  }
  return rest;
}

void
WordReader::ExpectEnd() const
{
  if (!IsAtEnd()) {
    Fail("the end of the command");
  }
}

void
WordReader::Fail(std::string_view aExpected) const
{
  const std::size_t column = IsAtEnd() ? end_ : words_[next_].column_;
  throw CommandSyntaxError{ column, std::string(aExpected) };
}

void
WordReader::FailAtLastWord(std::string_view aExpected) const
{
  throw CommandSyntaxError{ words_[next_ - 1].column_, std::string(aExpected) };
}

} // namespace verbenawell
