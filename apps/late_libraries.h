// The shared libraries of the system that the program loads itself. They need
// some 40 others, and while the dynamic loader works no code of the program can
// block a signal. So they are loaded when the signals are blocked.
#ifndef APPS_LATE_LIBRARIES_H_
#define APPS_LATE_LIBRARIES_H_

#include <string>

namespace toucanhollow {

// Loads libcurl, libmicrohttpd and libcrypto, by their names. Their functions
// may be called afterwards. Returns an empty text, or what could not be loaded
// and why.
std::string LoadLateLibraries();

}  // namespace toucanhollow

#endif  // APPS_LATE_LIBRARIES_H_
