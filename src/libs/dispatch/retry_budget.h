#pragma once

namespace hawthornwheel::dispatch {

/// Limits retries to a share of started attempts, so that retries cannot
/// amplify an overload. The initial tokens allow a few retries before any
/// start.
class RetryBudget {
 public:
  /// Records one start, which adds `share` tokens to the budget.
  void OnStart(double share);

  /// Takes one token, which permits one retry. Returns false when less than one
  /// token is left.
  bool TryTake();

 private:
  /// One token permits one retry.
  static constexpr double kInitialTokens = 20;
  static constexpr double kMaxTokens = 100;

  double tokens = kInitialTokens;
};

}  // namespace hawthornwheel::dispatch
