#pragma once

#include "verbenawell/adapters/http/HttpListener.h"
#include "verbenawell/core/Ids.h"

#include <map>
#include <optional>

namespace verbenawell::http {

/// The requests of a listener that have no response yet, by the reducer's key
/// and by the listener's id.
class OpenExchanges
{
public:
  void Add(RequestKey aKey, ExchangeId aExchange)
  {
    exchanges_.emplace(aKey, aExchange);
    keys_.emplace(aExchange, aKey);
  }

  std::optional<ExchangeId> Remove(RequestKey aKey)
  {
    const auto found = exchanges_.find(aKey);
    if (found == exchanges_.end()) {
      return std::nullopt;
    }
    const ExchangeId exchange = found->second;
    keys_.erase(exchange);
    exchanges_.erase(found);
    return exchange;
  }

  std::optional<RequestKey> Remove(ExchangeId aExchange)
  {
    const auto found = keys_.find(aExchange);
    if (found == keys_.end()) {
      return std::nullopt;
    }
    const RequestKey key = found->second;
    exchanges_.erase(key);
    keys_.erase(found);
    return key;
  }

private:
  std::map<RequestKey, ExchangeId> exchanges_;
  std::map<ExchangeId, RequestKey> keys_;
};

} // namespace verbenawell::http
