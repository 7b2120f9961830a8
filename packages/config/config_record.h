// The records of the log's stream `config`: the records that operators publish,
// and refreshes, which append accepted records again before the log's retention
// drops them.
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

// Kinds of records. They are text rather than an enumeration, because records
// of kinds that this program does not know are kept as opaque content.
constexpr std::string_view kModelGroupKind = "model_group";
constexpr std::string_view kPlainServiceKind = "plain_service";
constexpr std::string_view kAccountKind = "account";
constexpr std::string_view kDataCentreKind = "data_centre";
constexpr std::string_view kEndpointKind = "endpoint";

// The object that a record configures.
struct ConfigSubject {
  std::string kind;
  std::string name;

  bool operator==(const ConfigSubject&) const = default;
  // clang-tidy 14 mistakes a defaulted <=> for a use of 0 as a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ConfigSubject&) const = default;
};

// Whether this program can use a record's content. Acceptance of the record
// does not depend on it, since program versions differ in what they can use.
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
  // True if the record removes the subject; the content is empty then.
  bool removed = false;
  // The text as published, so that a refresh preserves unknown fields.
  std::string text;
  ContentValidity validity = ContentValidity::kOpaque;
  // Present if kValid and not removed.
  std::optional<ConfigContent> content;
  // Why the content cannot be used, or which of its parts are unknown here.
  std::vector<Failure> findings;

  bool operator==(const ConfigCopy&) const = default;
};

// A record as an operator publishes it. The offset of `copy` is the offset of
// its log entry.
struct PublishedRecord {
  ConfigSubject subject;
  // The revision that the operator saw; 0 for a new subject.
  LogOffset expected_revision = 0;
  ConfigCopy copy;

  bool operator==(const PublishedRecord&) const = default;
};

// The copies of a subject that must be preserved. The latest accepted copy
// determines the revision. The last usable copy of each schema version is kept
// as well, because program versions differ in which copies they can use.
struct SubjectCopies {
  std::optional<ConfigCopy> latest;
  // By schema version; only copies that are valid or opaque.
  std::map<int, ConfigCopy> usable;
  // Offset of the latest removal; older copies never come into force again.
  LogOffset removed_at = 0;

  bool operator==(const SubjectCopies&) const = default;
};

struct SubjectSnapshot {
  ConfigSubject subject;
  // `copies` reflects all records of the subject up to this offset.
  LogOffset as_of = 0;
  SubjectCopies copies;

  bool operator==(const SubjectSnapshot&) const = default;
};

// Maximum number of subjects in one refresh entry.
constexpr std::size_t kMaxRefreshSubjects = 64;

struct ConfigRefresh {
  std::vector<SubjectSnapshot> subjects;

  bool operator==(const ConfigRefresh&) const = default;
};

// The configuration as one process knows it, for processes that start or that
// lack records.
struct ConfigSnapshot {
  // Subjects that are not listed did not exist as of this offset; -1 if that
  // is not known.
  LogOffset complete_as_of = -1;
  std::vector<SubjectSnapshot> subjects;

  bool operator==(const ConfigSnapshot&) const = default;
};

// An entry that cannot be decoded.
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
