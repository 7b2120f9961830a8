#include "agent/engine_back_end.h"

#include <map>
#include <memory>
#include <utility>

namespace toucanhollow {
namespace {

struct EngineRun {
  EngineRequest request;
  BackEndEvents events;
  HttpCallId call = 0;
  int resumes = 0;
};

struct EngineRuns {
  explicit EngineRuns(EngineClient& client) : engine(client) {}

  EngineStreamCallbacks MakeCallbacks(const DispatchId& id);
  void OnEnd(const DispatchId& id, const EngineStreamOutcome& outcome);

  EngineClient& engine;
  std::map<DispatchId, EngineRun> runs;
};

EngineStreamCallbacks EngineRuns::MakeCallbacks(const DispatchId& id) {
  EngineStreamCallbacks callbacks;
  callbacks.on_token = [this, id](std::int64_t index, std::string_view text) {
    const auto run = this->runs.find(id);
    if (run != this->runs.end()) {
      run->second.events.piece(static_cast<std::uint64_t>(index), text);
    }
  };
  callbacks.on_end = [this, id](const EngineStreamOutcome& outcome) {
    this->OnEnd(id, outcome);
  };
  return callbacks;
}

void EngineRuns::OnEnd(const DispatchId& id,
                       const EngineStreamOutcome& outcome) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  EngineRun& run = found->second;
  if (outcome.end == EngineStreamEnd::kInterrupted &&
      run.resumes < kMaxEngineResumes &&
      outcome.next_index > run.request.start_index) {
    ++run.resumes;
    run.call = this->engine.Resume(run.request, outcome.next_index,
                                   this->MakeCallbacks(id));
    return;
  }
  BackEndEnd end;
  end.count = static_cast<std::uint64_t>(outcome.next_index);
  end.failure = MakeFailure(outcome.code, outcome.detail);
  switch (outcome.end) {
    case EngineStreamEnd::kComplete:
      end.kind = BackEndEnd::Kind::kComplete;
      end.finish_reason =
          outcome.next_index >= run.request.max_tokens ? "length" : "stop";
      break;
    case EngineStreamEnd::kNotRun:
      // A refused resume is not a refused request.
      end.kind = run.resumes == 0 ? BackEndEnd::Kind::kNotRun
                                  : BackEndEnd::Kind::kUnknown;
      break;
    case EngineStreamEnd::kInterrupted:
      end.kind = BackEndEnd::Kind::kUnknown;
      break;
  }
  const BackEndEvents events = std::move(run.events);
  this->runs.erase(found);
  events.ended(end);
}

}  // namespace

BackEnd MakeEngineBackEnd(EngineClient& engine) {
  const auto runs = std::make_shared<EngineRuns>(engine);
  BackEnd back_end;
  back_end.start = [runs](const Dispatch& dispatch, BackEndEvents events) {
    EngineRun run;
    run.request.id = dispatch.dispatch_id.value;
    run.request.model = dispatch.model;
    run.request.prompt = dispatch.body;
    run.request.max_tokens =
        dispatch.max_tokens > 0 ? dispatch.max_tokens : kDefaultMaxTokens;
    run.request.start_index = static_cast<std::int64_t>(dispatch.resume_index);
    run.request.priority = dispatch.priority;
    run.events = std::move(events);
    const DispatchId id = dispatch.dispatch_id;
    EngineRun& kept = runs->runs.emplace(id, std::move(run)).first->second;
    kept.call = runs->engine.Complete(kept.request, runs->MakeCallbacks(id));
  };
  back_end.cancel = [runs](const DispatchId& id) {
    const auto found = runs->runs.find(id);
    if (found == runs->runs.end()) {
      return;
    }
    runs->engine.Cancel(found->second.call);
    runs->engine.CancelStream(id.value, {});
    runs->runs.erase(found);
  };
  return back_end;
}

}  // namespace toucanhollow
