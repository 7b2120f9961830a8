// The entry point of the library that has all of the program but its start.
#ifndef APPS_RUN_TOUCANHOLLOW_H_
#define APPS_RUN_TOUCANHOLLOW_H_

extern "C" {

// Runs the role that the arguments name and returns the exit status.
[[gnu::visibility("default")]] int RunToucanhollow(int argc, char** argv);
}

#endif  // APPS_RUN_TOUCANHOLLOW_H_
