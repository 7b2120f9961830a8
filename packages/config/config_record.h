// The records of the log's stream `config`: what operators publish, and the
// refreshes that carry accepted records past the log's retention.
#ifndef CONFIG_CONFIG_RECORD_H_
#define CONFIG_CONFIG_RECORD_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/log_entry.h"
#include "base/result.h"
#include "base/time.h"
#include "config/config_content.h"

namespace toucanhollow {

// Schema versions that this program decodes.
constexpr int kOldestSchema = 1;
constexpr int kNewestSchema = 2;

// Kinds of records. A kind that this program does not know is kept as opaque
// content, hence the text.
constexpr std::string_view kModelGroupKind = "model_group";
constexpr std::string_view kPlainServiceKind = "plain_service";
constexpr std::string_view kAccountKind = "account";
constexpr std::string_view kDataCentreKind = "data_centre";
constexpr std::string_view kEndpointKind = "endpoint";

// What a record is about.
struct ConfigSubject {
  std::string kind;
  std::string name;

  bool operator==(const ConfigSubject&) const = default;
  // clang-tidy 14 mistakes a defaulted <=> for a use of 0 as a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ConfigSubject&) const = default;
};

// What this program makes of a record's content. Acceptance does not depend on
// it, since programs of different versions judge differently.
enum class ContentValidity {
  kValid,
  kInvalid,
  kOpaque,  // a newer schema version or an unknown kind
};

// The part of an accepted record that is copied by refreshes and snapshots.
struct ConfigCopy {
  // Offset of the original record: the revision of its subject.
  LogOffset offset = 0;
  std::string change_id;
  int schema = kNewestSchema;
  // True ends the subject; the content is empty then.
  bool removed = false;
  // As published, so that fields unknown here survive a refresh.
  std::string text;
  ContentValidity validity = ContentValidity::kOpaque;
  // Present if kValid and not removed.
  std::optional<ConfigContent> content;
  // Why the content is not in force, or what it has that is not understood.
  std::vector<Failure> findings;

  bool operator==(const ConfigCopy&) const = default;
};

// A record as an operator publishes it. The offset of `copy` is the offset of
// the entry.
struct PublishedRecord {
  ConfigSubject subject;
  // The revision that the operator saw; 0 for a new subject.
  LogOffset expected_revision = 0;
  ConfigCopy copy;

  bool operator==(const PublishedRecord&) const = default;
};

// All that must last of one subject. The latest accepted copy decides the
// revision. The last good copy of each schema version is kept besides, because
// programs of different versions find different copies good.
struct SubjectCopies {
  std::optional<ConfigCopy> latest;
  // By schema version; only copies that are good or opaque.
  std::map<int, ConfigCopy> usable;
  // Offset of the latest removal; older copies are never in force again.
  LogOffset removed_at = 0;

  bool operator==(const SubjectCopies&) const = default;
};

struct SubjectSnapshot {
  ConfigSubject subject;
  // All records of the subject up to this offset are decided in `copies`.
  LogOffset as_of = 0;
  SubjectCopies copies;

  bool operator==(const SubjectSnapshot&) const = default;
};

// Subjects per refresh entry.
constexpr std::size_t kMaxRefreshSubjects = 64;

struct ConfigRefresh {
  std::vector<SubjectSnapshot> subjects;

  bool operator==(const ConfigRefresh&) const = default;
};

// What one process knows, for a process that starts or compares.
struct ConfigSnapshot {
  // Subjects that are not listed did not exist as of this offset; -1 if that
  // is not known.
  LogOffset complete_as_of = -1;
  std::vector<SubjectSnapshot> subjects;

  bool operator==(const ConfigSnapshot&) const = default;
};

// An entry that cannot be read at all.
struct UnreadableRecord {
  Failure failure{ResultCode::kRecordMalformed, {}};

  bool operator==(const UnreadableRecord&) const = default;
};

// A decoded log entry of stream `config`.
struct ConfigEntry {
  LogOffset offset = 0;
  WallTime time;
  std::variant<UnreadableRecord, PublishedRecord, ConfigRefresh> record;

  bool operator==(const ConfigEntry&) const = default;
};

}  // namespace toucanhollow

#endif  // CONFIG_CONFIG_RECORD_H_
