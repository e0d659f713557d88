#pragma once

namespace hawthornwheel::dispatch {

/// Bounds retries as a share of starts, so that retries cannot make a flood
/// worse. A few are always allowed.
class RetryBudget {
 public:
  /// Takes one start; `share` retries are earned by it.
  void OnStart(double share);

  /// Takes one retry out of the budget; false when it is spent.
  bool TryTake();

 private:
  static constexpr double kInitialTokens = 20;
  static constexpr double kMaxTokens = 100;

  double tokens = kInitialTokens;
};

}  // namespace hawthornwheel::dispatch
