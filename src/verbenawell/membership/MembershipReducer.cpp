#include "verbenawell/membership/MembershipReducer.h"

#include "verbenawell/membership/MembershipState.h"

namespace verbenawell {

namespace {

class Reducer
{
public:
  Reducer(MembershipState& aMembership,
          const Context& aContext,
          Effects& aEffects)
    : membership_(aMembership)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const Started&)
  {
    membership_.members_[context_.self_] = { membership_.self_, context_.now_ };
    effects_.emplace_back(Raise{ MembersChanged{ { context_.self_ }, {} } });
  }

  void operator()(const auto&) {}

private:
  MembershipState& membership_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceMembership(MembershipState& aMembership,
                 const Views&,
                 const Event& aEvent,
                 const Context& aContext,
                 Effects& aEffects)
{
  std::visit(Reducer{ aMembership, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
