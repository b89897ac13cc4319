#include "verbenawell/settings/SettingsText.h"

#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>

namespace verbenawell {

namespace {

using nlohmann::json;

/// Input iterator that counts the lines that the parser has consumed.
class LineCounter
{
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineCounter(const char* aAt, std::size_t& aLine)
    : at_(aAt)
    , line_(&aLine)
  {
  }

  reference operator*() const { return *at_; }
  LineCounter& operator++()
  {
    *line_ += *at_ == '\n' ? 1 : 0;
    ++at_;
    return *this;
  }
  LineCounter operator++(int)
  {
    LineCounter before = *this;
    ++*this;
    return before;
  }
  bool operator==(const LineCounter& aOther) const { return at_ == aOther.at_; }
  bool operator!=(const LineCounter& aOther) const { return at_ != aOther.at_; }

private:
  const char* at_;
  std::size_t* line_;
};

// Settings nest four levels deep. The path of each level contains the paths
// above it: without a limit, 100,000 opening brackets took 15 GB.
constexpr std::size_t kMaxDepth = 16;

/// Receives the events of the JSON parser. The line of a member is that of its
/// key: after a number, the parser has already consumed the next character,
/// which may be a newline.
class EntryHandler
{
public:
  explicit EntryHandler(const std::size_t& aLine)
    : line_(aLine)
  {
  }

  std::vector<SettingsEntry> ReleaseEntries() { return std::move(entries_); }

  // Names and signatures are given by the JSON library.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return Add(json{}); }
  bool boolean(bool aValue) { return Add(json(aValue)); }
  bool number_integer(json::number_integer_t aValue)
  {
    return Add(json(aValue));
  }
  bool number_unsigned(json::number_unsigned_t aValue)
  {
    return Add(json(aValue));
  }
  bool number_float(json::number_float_t aValue, const std::string&)
  {
    return Add(json(aValue));
  }
  bool string(std::string& aValue) { return Add(json(aValue)); }
  bool binary(json::binary_t&) { return false; }
  bool start_object(std::size_t)
  {
    Open(std::nullopt);
    return true;
  }
  bool key(std::string& aKey)
  {
    scopes_.back().key_ = aKey;
    scopes_.back().keyLine_ = line_;
    return true;
  }
  bool end_object()
  {
    scopes_.pop_back();
    return true;
  }
  bool start_array(std::size_t)
  {
    Open(0);
    return true;
  }
  bool end_array()
  {
    scopes_.pop_back();
    return true;
  }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception& aError)
  {
    throw SyntaxError(aError.what());
  }
  // NOLINTEND(readability-identifier-naming)

private:
  struct Scope
  {
    std::string path_;
    /// Index of the next element; empty in an object.
    std::optional<std::size_t> index_;
    std::string key_;
    std::size_t keyLine_ = 1;
  };

  /// Returns the path of the next value; in a list, advances the index.
  std::string NextPath()
  {
    if (scopes_.empty()) {
      return "";
    }
    Scope& scope = scopes_.back();
    if (scope.index_) {
      return scope.path_ + "[" + std::to_string((*scope.index_)++) + "]";
    }
    return scope.path_.empty() ? scope.key_ : scope.path_ + "." + scope.key_;
  }

  [[nodiscard]] std::size_t Line() const
  {
    return scopes_.empty() || scopes_.back().index_ ? line_
                                                    : scopes_.back().keyLine_;
  }

  bool Add(json aValue)
  {
    const std::size_t line = Line();
    entries_.push_back({ NextPath(), line, std::move(aValue) });
    return true;
  }

  void Open(std::optional<std::size_t> aIndex)
  {
    if (scopes_.size() >= kMaxDepth) {
      throw SyntaxError("line " + std::to_string(line_) +
                        ": nested deeper than " + std::to_string(kMaxDepth) +
                        " levels");
    }
    const std::size_t line = Line();
    std::string path = NextPath();
    entries_.push_back({ path, line, Container{} });
    scopes_.push_back({ std::move(path), aIndex, "", line });
  }

  const std::size_t& line_;
  std::vector<Scope> scopes_;
  std::vector<SettingsEntry> entries_;
};

} // namespace

std::vector<SettingsEntry>
ReadEntries(std::string_view aText)
{
  std::size_t line = 1;
  EntryHandler handler{ line };
  json::sax_parse(LineCounter{ aText.data(), line },
                  LineCounter{ aText.data() + aText.size(), line },
                  &handler,
                  json::input_format_t::json,
                  true,
                  true);
  return handler.ReleaseEntries();
}

} // namespace verbenawell
