// Sends SIGHUP to the process while the initialisers of its libraries run,
// which is before those of the program.

#include <csignal>

namespace {

[[gnu::constructor]] void SendReloadSignal() { std::raise(SIGHUP); }

}  // namespace
