#include "http/event_context.h"

#include <glib.h>

#include <algorithm>
#include <map>
#include <vector>

namespace hawthornwheel::http {
namespace {

// Maximum number of iterations in one dispatch by the main loop, so that its
// other sources are served too.
constexpr int kMaxIterations = 16;
constexpr gint64 kMicrosecondsPerMillisecond = 1'000;

}  // namespace

class EventContext::Private {
 public:
  struct MainLoopSource {
    GSource source;
    Private* owner;
  };

  /// Registration of a descriptor with the source in the main loop.
  struct Descriptor {
    gushort events = 0;
    gpointer tag = nullptr;
  };

  Private() : context(g_main_context_new()) {
    static GSourceFuncs functions = {Prepare, Check,   Dispatch,
                                     nullptr, nullptr, nullptr};
    this->source = g_source_new(&functions, sizeof(MainLoopSource));
    reinterpret_cast<MainLoopSource*>(this->source)->owner = this;
    g_source_attach(this->source, nullptr);
  }

  ~Private() {
    g_source_destroy(this->source);
    g_source_unref(this->source);
    g_main_context_unref(this->context);
  }

  static Private& OwnerOf(GSource* source) {
    return *reinterpret_cast<MainLoopSource*>(source)->owner;
  }

  static gboolean Prepare(GSource* source, gint* timeout) {
    *timeout = -1;
    return OwnerOf(source).due;
  }

  static gboolean Check(GSource* source) {
    const Private& self = OwnerOf(source);
    return self.due ||
           std::any_of(self.descriptors.begin(), self.descriptors.end(),
                       [source](const auto& item) {
                         return g_source_query_unix_fd(source,
                                                       item.second.tag) != 0;
                       });
  }

  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer) {
    OwnerOf(source).Run();
    return G_SOURCE_CONTINUE;
  }

  // Dispatches the sources of the context until none is ready, and registers
  // what the context waits for with the main loop.
  void Run() {
    g_main_context_push_thread_default(this->context);
    this->due = false;
    int iterations = 0;
    while (this->Iterate()) {
      if (++iterations < kMaxIterations) continue;
      this->due = true;
      break;
    }
    g_main_context_pop_thread_default(this->context);
    this->UpdateDescriptors();
  }

  // Returns whether a source was dispatched.
  bool Iterate() {
    gint priority = 0;
    g_main_context_prepare(this->context, &priority);
    gint timeout_ms = -1;
    gint count = 0;
    while ((count = g_main_context_query(
                this->context, priority, &timeout_ms, this->polled.data(),
                static_cast<gint>(this->polled.size()))) >
           static_cast<gint>(this->polled.size())) {
      this->polled.resize(static_cast<std::size_t>(count));
    }
    this->polled_count = static_cast<std::size_t>(count);
    if (count > 0) g_poll(this->polled.data(), static_cast<guint>(count), 0);
    g_source_set_ready_time(this->source,
                            timeout_ms < 0
                                ? -1
                                : g_source_get_time(this->source) +
                                      timeout_ms * kMicrosecondsPerMillisecond);
    if (!g_main_context_check(this->context, priority, this->polled.data(),
                              count)) {
      return false;
    }
    g_main_context_dispatch(this->context);
    return true;
  }

  void UpdateDescriptors() {
    std::map<int, gushort> wanted;
    for (std::size_t i = 0; i < this->polled_count; ++i) {
      wanted[this->polled[i].fd] |= this->polled[i].events;
    }
    std::erase_if(this->descriptors, [this, &wanted](const auto& item) {
      if (wanted.contains(item.first)) return false;
      g_source_remove_unix_fd(this->source, item.second.tag);
      return true;
    });
    for (const auto& [descriptor, events] : wanted) {
      Descriptor& entry = this->descriptors[descriptor];
      if (entry.tag == nullptr) {
        entry.tag = g_source_add_unix_fd(this->source, descriptor,
                                         static_cast<GIOCondition>(events));
      } else if (entry.events != events) {
        g_source_modify_unix_fd(this->source, entry.tag,
                                static_cast<GIOCondition>(events));
      }
      entry.events = events;
    }
  }

  GMainContext* context;
  GSource* source = nullptr;
  /// Whether sources of the context may be ready although the main loop has
  /// seen no event: some were added from outside, or iterations were left.
  bool due = true;
  /// Descriptors that the context waits for.
  std::map<int, Descriptor> descriptors;
  std::vector<GPollFD> polled = std::vector<GPollFD>(16);
  std::size_t polled_count = 0;
};

EventContext::EventContext() : d(std::make_unique<Private>()) {}

EventContext::~EventContext() = default;

std::shared_ptr<EventContext> EventContext::Shared() {
  static std::weak_ptr<EventContext> shared;
  std::shared_ptr<EventContext> context = shared.lock();
  if (context == nullptr) {
    context = std::make_shared<EventContext>();
    shared = context;
  }
  return context;
}

EventContext::Scope::Scope(EventContext& context) : context(context) {
  g_main_context_push_thread_default(context.d->context);
}

EventContext::Scope::~Scope() {
  g_main_context_pop_thread_default(this->context.d->context);
  this->context.d->due = true;
}

EventContext::MainLoopScope::MainLoopScope() {
  g_main_context_push_thread_default(nullptr);
}

EventContext::MainLoopScope::~MainLoopScope() {
  g_main_context_pop_thread_default(nullptr);
}

}  // namespace hawthornwheel::http
