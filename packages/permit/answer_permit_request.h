// Answers the permit requests of entry hosts.
#ifndef PERMIT_ANSWER_PERMIT_REQUEST_H_
#define PERMIT_ANSWER_PERMIT_REQUEST_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "traffic/permit_ledger.h"

namespace toucanhollow {

// Decides on the encoded request and returns the encoded reply. Fails with
// kFrameMalformed.
Result<std::string> AnswerPermitRequest(PermitLedger& ledger,
                                        std::string_view request,
                                        TimePoint now);

}  // namespace toucanhollow

#endif  // PERMIT_ANSWER_PERMIT_REQUEST_H_
