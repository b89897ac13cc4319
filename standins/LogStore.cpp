#include "LogStore.h"

#include <algorithm>
#include <utility>

namespace standins {

using verbenawell::LogPage;
using verbenawell::Offset;

LogStore::LogStore(std::size_t aRetention)
  : retention_(aRetention)
{
}

Offset
LogStore::Append(const std::string& aStream, std::string aRecord)
{
  const std::lock_guard lock{ mutex_ };
  Stream& stream = streams_[aStream];
  const Offset offset = stream.first_ + Offset{ stream.records_.size() };
  stream.records_.push_back(std::move(aRecord));
  if (retention_ > 0) {
    Trim(stream, retention_);
  }
  return offset;
}

LogPage
LogStore::Read(const std::string& aStream, Offset aFrom, std::size_t aMax)
{
  const std::lock_guard lock{ mutex_ };
  const Stream& stream = streams_[aStream];
  LogPage page;
  page.first_ = stream.first_;
  page.next_ = stream.first_ + Offset{ stream.records_.size() };
  page.from_ = std::clamp(aFrom, page.first_, page.next_);
  const auto begin =
    static_cast<std::size_t>((page.from_ - stream.first_).Value());
  const std::size_t end = std::min(begin + aMax, stream.records_.size());
  for (std::size_t at = begin; at < end; ++at) {
    page.records_.push_back(stream.records_[at]);
  }
  return page;
}

void
LogStore::Expire(std::size_t aKeep)
{
  const std::lock_guard lock{ mutex_ };
  for (auto& [name, stream] : streams_) {
    Trim(stream, aKeep);
  }
}

void
LogStore::Trim(Stream& aStream, std::size_t aKeep)
{
  while (aStream.records_.size() > aKeep) {
    aStream.records_.pop_front();
    ++aStream.first_;
  }
}

} // namespace standins
