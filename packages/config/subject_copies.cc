#include "config/subject_copies.h"

#include <algorithm>
#include <map>
#include <utility>

namespace toucanhollow {
namespace {

void InsertIfNewer(std::map<int, ConfigCopy>& usable, ConfigCopy copy) {
  const auto [found, first] = usable.try_emplace(copy.schema, copy);
  if (!first && found->second.offset < copy.offset) {
    found->second = std::move(copy);
  }
}

SubjectCopies EraseRemovedCopies(SubjectCopies copies) {
  std::erase_if(copies.usable, [&](const auto& entry) {
    return entry.second.offset <= copies.removed_at;
  });
  return copies;
}

}  // namespace

SubjectCopies AcceptCopy(SubjectCopies copies, ConfigCopy copy) {
  if (copy.removed) {
    copies.removed_at = std::max(copies.removed_at, copy.offset);
  } else if (copy.validity != ContentValidity::kInvalid) {
    InsertIfNewer(copies.usable, copy);
  }
  if (!copies.latest || copies.latest->offset < copy.offset) {
    copies.latest = std::move(copy);
  }
  return EraseRemovedCopies(std::move(copies));
}

SubjectCopies MergeCopies(SubjectCopies copies, const SubjectCopies& other) {
  copies.removed_at = std::max(copies.removed_at, other.removed_at);
  if (other.latest) {
    copies = AcceptCopy(std::move(copies), *other.latest);
  }
  for (const auto& [schema, copy] : other.usable) {
    // Content that a peer found usable may be invalid here.
    if (copy.validity != ContentValidity::kInvalid) {
      InsertIfNewer(copies.usable, copy);
    }
  }
  return EraseRemovedCopies(std::move(copies));
}

LogOffset GetRevision(const SubjectCopies& copies) {
  return copies.latest ? copies.latest->offset : 0;
}

const ConfigCopy* FindCopyInForce(const SubjectCopies& copies) {
  const ConfigCopy* in_force = nullptr;
  for (const auto& [schema, copy] : copies.usable) {
    if (copy.validity == ContentValidity::kValid &&
        (in_force == nullptr || in_force->offset < copy.offset)) {
      in_force = &copy;
    }
  }
  return in_force;
}

}  // namespace toucanhollow
