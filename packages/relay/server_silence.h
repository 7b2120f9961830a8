// ServerSilence: which engines' machines do not answer, as seen by their
// agents.
//
// A rank whose machine stands still says nothing, while the other ranks of its
// group may go on and report passes.
#ifndef RELAY_SERVER_SILENCE_H_
#define RELAY_SERVER_SILENCE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "traffic/known_server.h"

namespace toucanhollow {

// A judgement is up to this old, plus the time that an answer may take.
inline constexpr Duration kSilenceCheckPeriod = Milliseconds(150);

class ServerSilence {
 public:
  // Asks whether the server's machine answers. `done` is called once,
  // never inside this call; its argument is false only if there was no answer.
  using Ask = std::function<void(const ListedServer& server,
                                 std::function<void(bool answers)> done)>;

  explicit ServerSilence(Ask ask);

  // True if the last question was not answered. Asks again if the answer is
  // old, one question at a time for each server. To be called periodically
  // while a request has been waiting long for the server.
  bool IsSilent(const ListedServer& server, TimePoint now);
  // Forgets servers that were not asked about for some time.
  void Sweep(TimePoint now);

 private:
  struct Check {
    bool pending = false;
    bool silent = false;
    // When the last question was sent.
    TimePoint asked_at;
  };

  Ask ask;
  std::map<std::string, Check> checks;  // by server id
  // Callbacks keep a weak pointer to this, which expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // RELAY_SERVER_SILENCE_H_
