#include "verbenawell/operators/OperatorsReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/operators/OperatorsState.h"
#include "verbenawell/operators/Parser.h"
#include "verbenawell/operators/Reports.h"

#include <string>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kSettleLimit = std::chrono::seconds(4);
constexpr Duration kTickInterval = std::chrono::milliseconds(250);

class Reducer
{
public:
  Reducer(OperatorsState& aOperators,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : operators_(aOperators)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const Started&)
  {
    operators_.run_ =
      static_cast<std::uint64_t>(context_.wallNow_.time_since_epoch().count());
    effects_.emplace_back(SetTimer{ OperatorTick{}, kTickInterval });
  }

  void operator()(const CommandReceived& aEvent)
  {
    effects_.emplace_back(Count{ Counter::OperatorCommands });
    const auto parsed = ParseCommand(aEvent.text_);
    std::visit(Overloaded{
                 [&](const SyntaxFault& aFault) {
                   Answer(aEvent.key_,
                          CommandStatus::SyntaxError,
                          "column " + std::to_string(aFault.column_) +
                            ": expected " + aFault.expected_);
                 },
                 [&](const Command& aCommand) { Execute(aEvent, aCommand); },
               },
               parsed);
  }

  void operator()(const RecordSettled& aEvent)
  {
    const auto found = operators_.pending_.find(aEvent.id_);
    if (found == operators_.pending_.end()) {
      return;
    }
    const std::string offset = std::to_string(aEvent.offset_.Value());
    if (aEvent.refusal_.empty()) {
      Answer(found->second.key_,
             CommandStatus::Done,
             "in effect at offset " + offset);
    } else {
      Answer(found->second.key_,
             CommandStatus::Refused,
             "refused at offset " + offset + ": " + aEvent.refusal_);
    }
    operators_.pending_.erase(found);
  }

  void operator()(const AppendGivenUp& aEvent)
  {
    const auto found = operators_.pending_.find(aEvent.id_);
    if (found == operators_.pending_.end()) {
      return;
    }
    if (aEvent.mayBeInLog_) {
      Answer(found->second.key_,
             CommandStatus::Pending,
             "the log has not answered; the change may take effect later");
    } else {
      Answer(found->second.key_,
             CommandStatus::Refused,
             "not in the log: " + aEvent.reason_);
    }
    operators_.pending_.erase(found);
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<OperatorTick>(aEvent.key_)) {
      return;
    }
    std::erase_if(operators_.pending_, [&](const auto& aPending) {
      if (context_.now_ < aPending.second.deadline_) {
        return false;
      }
      Answer(aPending.second.key_,
             CommandStatus::Pending,
             "the log has not answered; the change may take effect later");
      return true;
    });
    effects_.emplace_back(SetTimer{ OperatorTick{}, kTickInterval });
  }

  void operator()(const auto&) {}

private:
  void Execute(const CommandReceived& aEvent, const Command& aCommand)
  {
    std::visit(Overloaded{
                 [&](const ShowFleet&) {
                   AnswerTable(aEvent.key_, ReportPools(views_.fleet_));
                 },
                 [&](const ShowVms&) {
                   AnswerTable(aEvent.key_, ReportVms(views_.fleet_));
                 },
                 [&](const ShowWaves&) {
                   AnswerTable(aEvent.key_, ReportWaves(views_.fleet_));
                 },
                 [&](const ChangeFleet& aChange) { Append(aEvent, aChange); },
               },
               aCommand);
  }

  void Append(const CommandReceived& aEvent, const ChangeFleet& aChange)
  {
    FleetRecord record;
    record.id_ =
      RecordId{ context_.self_.Value() + "/" + std::to_string(operators_.run_) +
                "/" + std::to_string(++operators_.lastRecord_) };
    record.at_ = context_.wallNow_;
    record.author_ = aEvent.author_;
    record.change_ = aChange.change_;
    const RecordId id = record.id_;
    operators_.pending_[id] = { aEvent.key_, context_.now_ + kSettleLimit };
    effects_.emplace_back(
      Raise{ AppendWanted{ FleetStream(), id, std::move(record) } });
  }

  void AnswerTable(CommandKey aKey, Table aTable)
  {
    OperatorAnswer answer;
    answer.tables_.push_back(std::move(aTable));
    effects_.emplace_back(AnswerOperator{ aKey, std::move(answer) });
  }

  void Answer(CommandKey aKey, CommandStatus aStatus, std::string aMessage)
  {
    effects_.emplace_back(
      AnswerOperator{ aKey, { aStatus, std::move(aMessage), {}, {} } });
  }

  OperatorsState& operators_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceOperators(OperatorsState& aOperators,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects)
{
  std::visit(Reducer{ aOperators, aViews, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
