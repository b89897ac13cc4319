#pragma once

#include "verbenawell/operators/Command.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace verbenawell {

/// Splits a command into words and consumes them from left to right. Throws
/// `CommandSyntaxError`, which `ParseCommand` catches, if a word is not the
/// expected one.
class WordReader
{
public:
  explicit WordReader(std::string_view aText);

  [[nodiscard]] bool ConsumeIf(std::string_view aWord);
  void Expect(std::string_view aWord);
  std::string ConsumeName(std::string_view aWhat);
  std::uint32_t ConsumeNumber(std::string_view aWhat);
  /// Consumes all remaining words; returns them with single spaces in between.
  std::string ConsumeRest();
  [[nodiscard]] bool IsAtEnd() const { return next_ == words_.size(); }
  void ExpectEnd() const;

  /// Throws `CommandSyntaxError` with the column of the next word.
  /// `FailAtLastWord` names the column of the last consumed word instead.
  [[noreturn]] void Fail(std::string_view aExpected) const;
  [[noreturn]] void FailAtLastWord(std::string_view aExpected) const;

private:
  struct Word
  {
    std::string text_;
    std::size_t column_ = 0;
  };

  std::vector<Word> words_;
  std::size_t next_ = 0;
  std::size_t end_;
};

} // namespace verbenawell
