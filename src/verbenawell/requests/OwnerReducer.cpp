#include "verbenawell/requests/OwnerReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/RequestsState.h"
#include "verbenawell/requests/SlotAdmission.h"
#include "verbenawell/requests/SlotGranting.h"
#include "verbenawell/requests/SlotReturn.h"

namespace verbenawell {

namespace {

class Reducer
{
public:
  explicit Reducer(OwnerScope aScope)
    : scope_(aScope)
  {
  }

  void operator()(const FleetChanged& aEvent)
  {
    for (const Subject& subject : aEvent.subjects_) {
      if (const auto* vm = std::get_if<VmId>(&subject)) {
        ReportIfDrained(scope_, *vm);
      }
    }
    for (auto& [id, queue] : scope_.owner_.pools_) {
      GrantFreeSlots(scope_, id, queue);
    }
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    std::visit(
      Overloaded{
        [&](const SlotRequest& aRequest) {
          AdmitTicket(scope_, aEvent.from_, aRequest);
        },
        [&](const SlotCancel& aCancel) {
          WithdrawTicket(scope_, { aEvent.from_, aCancel.key_ }, aCancel.pool_);
        },
        [&](const SlotRelease& aRelease) { ReleaseSlot(scope_, aRelease); },
        [](const auto&) {},
      },
      aEvent.message_);
  }

  void operator()(const DrainQuery& aEvent)
  {
    ReportIfDrained(scope_, aEvent.vm_);
  }

  void operator()(const auto&) {}

private:
  OwnerScope scope_;
};

} // namespace

void
ReduceOwner(RequestsState& aRequests,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects)
{
  OwnerScope scope{
    aRequests.owner_, aRequests.random_, aViews, aContext, aEffects
  };
  std::visit(Reducer{ scope }, aEvent);
}

} // namespace verbenawell
