#include "support/loop.h"

#include <glib.h>

namespace hawthornwheel::testing {
namespace {

constexpr guint kLimitMs = 30'000;

gboolean SetFlag(gpointer data) {
  *static_cast<bool*>(data) = true;
  return G_SOURCE_REMOVE;
}

}  // namespace

bool RunLoopUntil(const std::function<bool()>& condition) {
  bool over = false;
  const guint limit = g_timeout_add(kLimitMs, SetFlag, &over);
  while (!condition() && !over) g_main_context_iteration(nullptr, TRUE);
  if (!over) g_source_remove(limit);
  return !over;
}

void RunLoopFor(int milliseconds) {
  bool over = false;
  g_timeout_add(static_cast<guint>(milliseconds), SetFlag, &over);
  while (!over) g_main_context_iteration(nullptr, TRUE);
}

}  // namespace hawthornwheel::testing
