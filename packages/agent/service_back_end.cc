#include "agent/service_back_end.h"

#include <map>
#include <memory>
#include <utility>

namespace toucanhollow {
namespace {

// Bounds a call whose caller gave no deadline.
constexpr Duration kDefaultCallTimeout = Seconds(60);

using OpenCalls = std::map<DispatchId, HttpCallId>;

ServiceCall MakeCall(const Dispatch& dispatch) {
  ServiceCall call;
  call.method = dispatch.method;
  call.path = dispatch.path;
  call.body = dispatch.body;
  call.idempotency_key = dispatch.idempotency_key;
  call.account = dispatch.account.value;
  call.timeout = dispatch.remaining > Duration(0) ? dispatch.remaining
                                                  : kDefaultCallTimeout;
  call.repeatable = dispatch.repeatable;
  return call;
}

BackEndEnd ToEnd(const ServiceOutcome& outcome) {
  BackEndEnd end;
  end.failure = MakeFailure(outcome.code, outcome.detail);
  switch (outcome.end) {
    case ServiceEnd::kAnswered:
      end.kind = BackEndEnd::Kind::kComplete;
      end.count = 1;
      end.status = outcome.status;
      break;
    case ServiceEnd::kNotRun:
      end.kind = BackEndEnd::Kind::kNotRun;
      break;
    case ServiceEnd::kUnknown:
      end.kind = BackEndEnd::Kind::kUnknown;
      break;
  }
  return end;
}

}  // namespace

BackEnd MakeServiceBackEnd(ServiceClient& service) {
  const auto calls = std::make_shared<OpenCalls>();
  BackEnd back_end;
  back_end.start = [&service, calls](const Dispatch& dispatch,
                                     BackEndEvents events) {
    const DispatchId id = dispatch.dispatch_id;
    (*calls)[id] = service.Call(
        MakeCall(dispatch),
        [calls, id, events = std::move(events)](const ServiceOutcome& outcome) {
          calls->erase(id);
          if (outcome.end == ServiceEnd::kAnswered) {
            events.piece(0, outcome.body);
          }
          events.ended(ToEnd(outcome));
        });
  };
  back_end.cancel = [&service, calls](const DispatchId& id) {
    const auto found = calls->find(id);
    if (found != calls->end()) {
      service.Cancel(found->second);
      calls->erase(found);
    }
  };
  return back_end;
}

}  // namespace toucanhollow
