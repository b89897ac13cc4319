#include "verbenawell/jobs/journal/RecordSize.h"

#include "verbenawell/core/Overloaded.h"

namespace verbenawell::jobs {

namespace {

// Each bound covers the keys, the headers and the numbers of an item, all with
// their longest encoding. Texts and lists add their own sizes.
constexpr std::size_t kRecordBytes = 300;
constexpr std::size_t kItemBytes = 64;
constexpr std::size_t kStepBytes = 120;
constexpr std::size_t kNumberBytes = 9;

std::size_t
MaxSize(const Step& aStep)
{
  return kStepBytes + aStep.dependencies_.size() * kNumberBytes +
         aStep.requiredLabel_.size() + aStep.preferredRack_.Value().size() +
         aStep.image_.Value().size();
}

std::size_t
MaxSize(const TaskProgress& aTask)
{
  return kItemBytes + aTask.checkpoint_.size() + aTask.worker_.Value().size();
}

std::size_t
MaxSize(const RemainingRun& aRun)
{
  return kItemBytes + aRun.worker_.Value().size();
}

std::size_t
MaxSize(const StoredWorker& aWorker)
{
  return kItemBytes + aWorker.worker_.Value().size() +
         aWorker.service_.Value().size() + aWorker.address_.host_.size();
}

std::size_t
MaxSize(const VmId& aVm)
{
  return kItemBytes + aVm.Value().size();
}

std::size_t
MaxSize(const StoredHomePool& aHomePool)
{
  return kItemBytes + aHomePool.vm_.Value().size() +
         aHomePool.pool_.Value().size();
}

template<typename List>
std::size_t
MaxSizeOfAll(const List& aList)
{
  std::size_t bytes = 0;
  for (const auto& item : aList) {
    bytes += MaxSize(item);
  }
  return bytes;
}

} // namespace

std::size_t
MaxRecordSize(const JournalRecord& aRecord)
{
  return kRecordBytes +
         std::visit(
           Overloaded{ [](const JobStored& aStored) {
                        return aStored.job_.Value().size() * 2 +
                               aStored.queue_.Value().size() +
                               aStored.service_.Value().size() +
                               aStored.definition_.specification_.size() +
                               MaxSizeOfAll(aStored.definition_.steps_);
                      },
                       [](const ProgressStored& aStored) {
                         return aStored.job_.Value().size() * 2 +
                                MaxSizeOfAll(aStored.tasks_);
                       },
                       [](const OutcomeStored& aStored) {
                         return aStored.job_.Value().size() * 3 +
                                aStored.queue_.Value().size() +
                                aStored.workspace_.Value().size() +
                                aStored.parts_.size() *
                                  (kItemBytes + aStored.job_.Value().size()) +
                                MaxSizeOfAll(aStored.remaining_);
                       },
                       [](const OccurrencesDone& aDone) {
                         return aDone.job_.Value().size() * 2 +
                                aDone.parts_.size() *
                                  (kItemBytes + aDone.job_.Value().size());
                       },
                       [](const JobHandedOver& aHandedOver) {
                         return aHandedOver.job_.Value().size() * 3 +
                                aHandedOver.queue_.Value().size();
                       },
                       [](const HandOverRemoved& aRemoved) {
                         return aRemoved.job_.Value().size();
                       },
                       [](const JobRemoved& aRemoved) {
                         return aRemoved.job_.Value().size();
                       },
                       [](const WorkersStored& aStored) {
                         return MaxSizeOfAll(aStored.workers_);
                       },
                       [](const WaveStored& aStored) {
                         return MaxSizeOfAll(aStored.begun_);
                       },
                       [](const HomePoolsStored& aStored) {
                         return MaxSizeOfAll(aStored.homePools_);
                       },
                       [](const QuotaPartsStored& aStored) {
                         return aStored.workspace_.Value().size() * 2 +
                                aStored.parts_.size() * kItemBytes;
                       } },
           aRecord);
}

} // namespace verbenawell::jobs
