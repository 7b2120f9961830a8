// What the stand-in programs share.
#ifndef STANDINS_PROGRAM_STAND_IN_PROGRAM_H_
#define STANDINS_PROGRAM_STAND_IN_PROGRAM_H_

#include <string>

#include "http_server/http_server.h"

namespace toucanhollow {

// Listens on address:port, prints "listening <port>" on standard output and
// serves until SIGTERM or SIGINT. Returns the exit status of the program.
int RunStandIn(EventLoop& loop,
               const std::string& address,
               int port,
               HttpHandler handler);

}  // namespace toucanhollow

#endif  // STANDINS_PROGRAM_STAND_IN_PROGRAM_H_
