#include "support/loop.h"

#include <glib.h>

namespace hawthornwheel::testing {
namespace {

constexpr guint kTimeoutMs = 30'000;

gboolean SetFlag(gpointer data) {
  *static_cast<bool*>(data) = true;
  return G_SOURCE_REMOVE;
}

}  // namespace

bool RunLoopUntil(const std::function<bool()>& condition) {
  bool timed_out = false;
  const guint timeout_id = g_timeout_add(kTimeoutMs, SetFlag, &timed_out);
  while (!condition() && !timed_out) g_main_context_iteration(nullptr, TRUE);
  if (!timed_out) g_source_remove(timeout_id);
  return !timed_out;
}

void RunLoopFor(int milliseconds) {
  bool elapsed = false;
  g_timeout_add(static_cast<guint>(milliseconds), SetFlag, &elapsed);
  while (!elapsed) g_main_context_iteration(nullptr, TRUE);
}

}  // namespace hawthornwheel::testing
