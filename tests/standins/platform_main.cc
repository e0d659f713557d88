// Serves the stand-in for the platform and prints its address. The optional
// argument is the address to listen on.

#include <fmt/format.h>
#include <glib.h>

#include <cstdio>

#include "base/glib_clock.h"
#include "standins/platform_server.h"

int main(int argc, char** argv) {
  hawthornwheel::base::GlibClock clock;
  hawthornwheel::standins::PlatformServer server(clock);
  const auto port = server.Listen(argc > 1 ? argv[1] : "127.0.0.1:0");
  if (!port) return 1;
  fmt::print("127.0.0.1:{}\n", *port);
  std::fflush(stdout);
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
}
