#pragma once

#include <memory>

namespace hawthornwheel::http {

/// Runs the event sources of a library in a GLib context of their own, which
/// the main loop serves through one source. GLib visits every source of a
/// context in each iteration, so the sources of idle connections would slow
/// down all other work of the main loop.
class EventContext {
 public:
  EventContext();
  ~EventContext();

  /// Returns the context that all servers of the process share.
  static std::shared_ptr<EventContext> Shared();

  /// Calls functions of the library: asynchronous operations that are started
  /// within the scope belong to the context.
  class Scope {
   public:
    explicit Scope(EventContext& context);
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;
    ~Scope();

   private:
    EventContext& context;
  };

  /// Calls functions that use the main loop from within the context.
  class MainLoopScope {
   public:
    MainLoopScope();
    MainLoopScope(const MainLoopScope&) = delete;
    MainLoopScope& operator=(const MainLoopScope&) = delete;
    ~MainLoopScope();
  };

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::http
