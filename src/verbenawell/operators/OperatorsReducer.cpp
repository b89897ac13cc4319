#include "verbenawell/operators/OperatorsReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/LogState.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/operators/OperatorsState.h"
#include "verbenawell/operators/Parser.h"
#include "verbenawell/operators/Reports.h"
#include "verbenawell/operators/Subjects.h"
#include "verbenawell/waves/WavesState.h"

#include <string>
#include <utility>
#include <vector>

namespace verbenawell {

namespace {

// An accepted change is in force at all daemons within this time. If the
// outcome is still unknown then, the operator gets "unknown" as the response.
constexpr Duration kChangeTimeout = std::chrono::seconds(4);
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
    , fleet_(aViews.fleet_)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const Started&)
  {
    operators_.session_ =
      static_cast<std::uint64_t>(context_.wallNow_.time_since_epoch().count());
    effects_.emplace_back(SetTimer{ OperatorTick{}, kTickInterval });
  }

  void operator()(const CommandReceived& aEvent)
  {
    effects_.emplace_back(Count{ Counter::OperatorCommands });
    const auto parsed = ParseCommand(aEvent.text_);
    std::visit(Overloaded{
                 [&](const CommandSyntaxError& aError) {
                   Respond(aEvent.key_,
                           { CommandStatus::SyntaxError,
                             "column " + std::to_string(aError.column_) +
                               ": expected " + aError.expected_,
                             {},
                             {} });
                 },
                 [&](const Command& aCommand) { Execute(aEvent, aCommand); },
               },
               parsed);
  }

  void operator()(const RecordProcessed& aEvent)
  {
    const auto found = operators_.pending_.find(aEvent.id_);
    if (found == operators_.pending_.end()) {
      return;
    }
    const std::string offset = std::to_string(aEvent.offset_.Value());
    const PendingCommand& pending = found->second;
    if (aEvent.refusal_.empty()) {
      Respond(pending.key_,
              { CommandStatus::Done,
                "in effect at offset " + offset,
                {},
                { BuildConsequencesTable(pending.expected_),
                  CompareWithActualState(pending.expected_, fleet_) } });
    } else {
      Respond(pending.key_,
              { CommandStatus::Refused,
                "refused at offset " + offset + ": " + aEvent.refusal_,
                {},
                pending.subject_ ? ReportProvenance(fleet_, *pending.subject_)
                                 : std::vector<Table>{} });
    }
    operators_.pending_.erase(found);
  }

  void operator()(const AppendAbandoned& aEvent)
  {
    const auto found = operators_.pending_.find(aEvent.id_);
    if (found == operators_.pending_.end()) {
      return;
    }
    Respond(
      found->second.key_,
      { aEvent.mayBeInLog_ ? CommandStatus::Pending : CommandStatus::Refused,
        aEvent.mayBeInLog_
          ? "unknown: the log did not answer; look before you repeat it"
          : "not done: " + aEvent.reason_,
        {},
        {} });
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
      Respond(aPending.second.key_,
              { CommandStatus::Pending,
                "unknown: the log has not answered; the change may take "
                "effect later, look before you repeat it",
                {},
                {} });
      return true;
    });
    effects_.emplace_back(SetTimer{ OperatorTick{}, kTickInterval });
  }

  void operator()(const auto&) {}

private:
  void Execute(const CommandReceived& aEvent, const Command& aCommand)
  {
    std::visit(
      Overloaded{
        [&](const PlanChange& aPlan) { Plan(aEvent, aPlan.change_); },
        [&](const ChangeFleet& aChange) { Change(aEvent, aChange.change_); },
        [&](const auto& aQuery) { Respond(aEvent.key_, Report(aQuery)); },
      },
      aCommand);
  }

  [[nodiscard]] OperatorResponse Report(const ShowFleet&) const
  {
    return Show(ReportPools(fleet_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowServices&) const
  {
    return Show(ReportServices(fleet_, views_.membership_, views_.requests_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowVms& aQuery) const
  {
    return Show(ReportVms(fleet_, aQuery.pool_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowWaves&) const
  {
    return Show(ReportWaves(fleet_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowWave& aQuery) const
  {
    if (!fleet_.waves_.contains(aQuery.wave_)) {
      return Refusal("no wave \"" + aQuery.wave_.Value() + "\"");
    }
    return Show(ReportStops(fleet_, aQuery.wave_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowQuotas&) const
  {
    return Show(ReportQuotas(fleet_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowSettings&) const
  {
    return Show(ReportSettings(fleet_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowSpares&) const
  {
    return Show(ReportSpares(fleet_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowStatus&) const
  {
    return Show(ReportStatus(views_.membership_, fleet_, context_.self_));
  }

  [[nodiscard]] OperatorResponse Report(const ShowHelp&) const
  {
    return { CommandStatus::Done, std::string(GrammarText()), {}, {} };
  }

  [[nodiscard]] OperatorResponse Report(const Explain& aQuery) const
  {
    auto tables = ReportProvenance(fleet_, aQuery.subject_);
    if (tables.empty()) {
      return Refusal("nothing is in force for " +
                     DescribeSubject(aQuery.subject_));
    }
    return { CommandStatus::Done, {}, {}, std::move(tables) };
  }

  void Plan(const CommandReceived& aEvent, const FleetChange& aChange)
  {
    const Consequences consequences =
      PredictConsequences(MakeRecord(aEvent, aChange));
    if (!consequences.refusal_.empty()) {
      Respond(aEvent.key_,
              Refusal("would be refused: " + consequences.refusal_));
      return;
    }
    Respond(aEvent.key_,
            { CommandStatus::Done,
              "nothing was changed" + ListDangers(consequences),
              {},
              BuildTables(consequences) });
  }

  void Change(const CommandReceived& aEvent, const FleetChange& aChange)
  {
    // Without this check, the record would wait for the log and could take
    // effect long after the operator was told that its outcome is unknown.
    if (IsFailing(views_.log_, FleetStream())) {
      Respond(aEvent.key_,
              Refusal("log-down: not done, the log does not answer; the "
                      "configuration stays as it is"));
      return;
    }
    FleetRecord record = MakeRecord(aEvent, aChange);
    Consequences consequences = PredictConsequences(record);
    if (!consequences.refusal_.empty()) {
      Respond(aEvent.key_, Refusal("refused: " + consequences.refusal_));
      return;
    }
    if (!consequences.dangers_.empty() &&
        aEvent.confirmation_ != consequences.confirmationCode_) {
      Respond(aEvent.key_,
              { CommandStatus::NeedsConfirmation,
                "not done" + ListDangers(consequences) +
                  "\nrepeat the command with the code " +
                  consequences.confirmationCode_ + " to accept this",
                consequences.confirmationCode_,
                BuildTables(consequences) });
      return;
    }
    const RecordId id = record.id_;
    operators_.pending_[id] = { aEvent.key_,
                                context_.now_ + kChangeTimeout,
                                SubjectOf(aChange),
                                std::move(consequences) };
    effects_.emplace_back(
      Raise{ AppendRequested{ FleetStream(), id, std::move(record) } });
  }

  [[nodiscard]] Consequences PredictConsequences(
    const FleetRecord& aRecord) const
  {
    return AssessChange(fleet_, aRecord, views_.waves_.rebootTime_);
  }

  // The precondition names the version of the subject that the consequences
  // were predicted for. If two changes of a subject race, the second one is
  // refused.
  FleetRecord MakeRecord(const CommandReceived& aEvent,
                         const FleetChange& aChange)
  {
    FleetRecord record;
    record.id_ = RecordId{ context_.self_.Value() + "/" +
                           std::to_string(operators_.session_) + "/" +
                           std::to_string(++operators_.lastRecord_) };
    record.at_ = context_.wallNow_;
    record.author_ = aEvent.author_;
    if (const auto subject = SubjectOf(aChange)) {
      record.preconditions_ = { { *subject, VersionOf(fleet_, *subject) } };
    }
    record.change_ = aChange;
    return record;
  }

  static std::string ListDangers(const Consequences& aConsequences)
  {
    std::string text;
    for (const std::string& danger : aConsequences.dangers_) {
      text += "\ndanger: " + danger;
    }
    return text;
  }

  static std::vector<Table> BuildTables(const Consequences& aConsequences)
  {
    std::vector<Table> tables{ BuildConsequencesTable(aConsequences) };
    tables.insert(
      tables.end(), aConsequences.tables_.begin(), aConsequences.tables_.end());
    return tables;
  }

  static OperatorResponse Show(Table aTable)
  {
    return { CommandStatus::Done, {}, {}, { std::move(aTable) } };
  }

  static OperatorResponse Refusal(std::string aMessage)
  {
    return { CommandStatus::Refused, std::move(aMessage), {}, {} };
  }

  void Respond(CommandKey aKey, OperatorResponse aResponse)
  {
    effects_.emplace_back(RespondToOperator{ aKey, std::move(aResponse) });
  }

  OperatorsState& operators_;
  const Views& views_;
  const FleetState& fleet_;
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
