#include "verbenawell/tool/Shell.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string_view>

#include <editline/readline.h>

namespace verbenawell {

namespace {

// Completions are offered in this order: words that often begin a command come
// first.
constexpr std::array<const char*, 38> kCompletionWords{
  "show",     "explain",  "plan",   "move", "drain",   "undrain", "set",
  "start",    "pause",    "resume", "end",  "create",  "remove",  "cancel",
  "help",     "services", "fleet",  "vms",  "waves",   "wave",    "quotas",
  "settings", "spares",   "status", "pool", "service", "vm",      "team",
  "setting",  "in",       "to",     "of",   "over",    "budget",  "weight",
  "limit",    "quota",    "spare"
};

char*
NextCompletion(const char* aPrefix, int aState)
{
  static std::size_t next = 0;
  if (aState == 0) {
    next = 0;
  }
  while (next < kCompletionWords.size()) {
    const char* word = kCompletionWords.at(next++);
    if (std::strncmp(word, aPrefix, std::strlen(aPrefix)) == 0) {
      // The readline library frees the returned string.
      return strdup(word);
    }
  }
  return nullptr;
}

} // namespace

void
RunShell(const std::function<void(const std::string&)>& aRun)
{
  using_history();
  rl_completion_entry_function = NextCompletion;
  while (char* line = readline("verbenawell> ")) {
    const std::string text = line;
    std::free(line);
    if (text == "quit" || text == "exit") {
      return;
    }
    if (!text.empty()) {
      add_history(text.c_str());
      aRun(text);
    }
  }
  std::putchar('\n');
}

} // namespace verbenawell
