// Load: endpoints of several kinds, whose speeds differ by 30% or more. New and
// restarted endpoints were taken for average ones, so long tasks were started
// at endpoints of the slow kind and could not end in time.

#include "runs/kind_paces.h"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <numbers>
#include <string>
#include <utility>
#include <vector>

#include "runs/endpoint_health.h"
#include "support/random.h"

namespace hawthornwheel::testing {
namespace {

using runs::KindPaces;

constexpr double kFast = 0.6;
constexpr double kSlow = 1.6;
constexpr int kRuns = 20;
const std::vector<std::string> kFastLabels = {"rack-1", "kind-a"};
const std::vector<std::string> kSlowLabels = {"kind-b", "rack-2"};

class KindPacesTest : public ::testing::Test {
 protected:
  void Add(const std::vector<std::string>& labels, double pace, int runs,
           int count = 1) {
    for (int i = 0; i < count; ++i) {
      this->reports.push_back({"s", &labels, pace, runs});
    }
  }

  // Adds ten endpoints of each of two kinds.
  void AddKinds(double fast, double slow) {
    this->Add(kFastLabels, fast, kRuns, 10);
    this->Add(kSlowLabels, slow, kRuns, 10);
  }

  void Update() { this->kinds.Update(this->reports); }

  double PaceOf(const std::vector<std::string>& labels, double pace,
                int runs) const {
    return this->kinds.PaceOf({"s", &labels, pace, runs});
  }

  std::vector<KindPaces::Report> reports;
  KindPaces kinds;
};

TEST_F(KindPacesTest, EndpointWithoutRunsHasPaceOfItsKind) {
  this->AddKinds(kFast, kSlow);
  this->Update();
  EXPECT_NEAR(this->PaceOf(kFastLabels, 1, 0), kFast, 0.01);
  EXPECT_NEAR(this->PaceOf(kSlowLabels, 1, 0), kSlow, 0.01);
  EXPECT_NEAR(this->kinds.KindPace("s", &kSlowLabels).value_or(0), kSlow, 0.01);
}

TEST_F(KindPacesTest, StragglerOfFastKindIsNotTakenForFast) {
  this->AddKinds(kFast, kSlow);
  this->Update();
  EXPECT_GT(this->PaceOf(kFastLabels, 3 * kFast, kRuns), 2.9 * kFast);
}

// Without the limit of its influence, one straggler of ten would make its kind
// 12% slower.
TEST_F(KindPacesTest, StragglerDoesNotMovePaceOfItsKind) {
  this->AddKinds(kFast, kSlow);
  this->Add(kFastLabels, 3 * kFast, kRuns);
  this->Update();
  EXPECT_NEAR(this->PaceOf(kFastLabels, 1, 0), kFast, 0.01);
}

TEST_F(KindPacesTest, ErrorOfLearnedPaceCountsLittle) {
  this->AddKinds(kFast, kSlow);
  this->Update();
  EXPECT_NEAR(this->PaceOf(kFastLabels, kFast * 1.1, kRuns), kFast, 0.005);
  EXPECT_NEAR(this->PaceOf(kFastLabels, kFast / 1.1, kRuns), kFast, 0.005);
}

TEST_F(KindPacesTest, CorrectionRisesWithDeviation) {
  this->AddKinds(kFast, kSlow);
  this->Update();
  double last = 0;
  for (double pace = kFast / 5; pace < kFast * 5; pace *= 1.02) {
    const double corrected = this->PaceOf(kFastLabels, pace, kRuns);
    EXPECT_GT(corrected, last);
    EXPECT_LT(corrected, last == 0 ? kFast : last * 1.04);
    last = corrected;
  }
}

TEST_F(KindPacesTest, KindsThatDoNotDifferChangeNothing) {
  this->AddKinds(1.04, 0.97);
  this->Update();
  EXPECT_EQ(this->PaceOf(kFastLabels, 1.3, kRuns), 1.3);
  EXPECT_EQ(this->PaceOf(kFastLabels, 1, 0), 1);
  EXPECT_FALSE(this->kinds.KindPace("s", &kFastLabels).has_value());
}

// Paces that are learned from noisy run times must not look like kinds.
TEST_F(KindPacesTest, NoiseIsNotTakenForKinds) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    this->reports.clear();
    std::deque<std::vector<std::string>> labels;
    for (int i = 0; i < 60; ++i) {
      labels.push_back(
          {"kind-" + std::to_string(i % 3), "rack-" + std::to_string(i % 7)});
      // A uniform distribution with the standard deviation 0.12.
      const double noise =
          0.12 * std::sqrt(12) * (random.UniformFraction() - 0.5);
      this->Add(labels.back(), std::exp(noise), kRuns);
    }
    this->Update();
    EXPECT_FALSE(this->kinds.KindPace("s", &labels.front()).has_value())
        << "seed " << seed;
  }
}

TEST_F(KindPacesTest, EndpointsWithoutLabelsKeepTheirPace) {
  this->AddKinds(kFast, kSlow);
  const std::vector<std::string> none;
  this->Add(none, 1.2, kRuns, 5);
  this->Update();
  EXPECT_EQ(this->PaceOf(none, 1.2, kRuns), 1.2);
  EXPECT_EQ(this->kinds.PaceOf({"s", nullptr, 1.2, kRuns}), 1.2);
  EXPECT_EQ(this->kinds.PaceOf({"other", &kFastLabels, 1.2, kRuns}), 1.2);
}

// A pace without runs was taken from other endpoints. If it counted, it would
// be passed on as measured and outlive what it was learned from.
TEST_F(KindPacesTest, PaceWithoutRunsDoesNotCount) {
  this->AddKinds(kFast, kSlow);
  this->Add(kFastLabels, 1.0, 0, 100);
  this->Update();
  EXPECT_NEAR(this->PaceOf(kFastLabels, 1, 0), kFast, 0.01);
  this->reports.clear();
  this->kinds = {};
  this->Add(kFastLabels, kFast, 0, 10);
  this->Add(kSlowLabels, kSlow, 0, 10);
  this->Update();
  EXPECT_FALSE(this->kinds.KindPace("s", &kFastLabels).has_value());
}

TEST_F(KindPacesTest, FewRunsGiveNoPaceOfKind) {
  this->Add(kFastLabels, kFast, 2, 10);
  this->Add(kSlowLabels, kSlow, kRuns, 10);
  this->Update();
  EXPECT_FALSE(this->kinds.KindPace("s", &kFastLabels).has_value());
}

// After the loss of a process, its endpoints are claimed by others and are not
// measured any more. They must not count as average.
TEST_F(KindPacesTest, PaceOfKindOutlivesLossOfMeasuredEndpoints) {
  this->AddKinds(kFast, kSlow);
  this->Update();
  this->reports.clear();
  this->Update();
  EXPECT_NEAR(this->PaceOf(kSlowLabels, 1, 0), kSlow, 0.01);
  this->Add(kFastLabels, 1, 0, 10);
  this->Add(kSlowLabels, 1, 0, 10);
  this->Update();
  EXPECT_NEAR(this->PaceOf(kSlowLabels, 1, 0), kSlow, 0.01);
  for (int i = 0; i < 3'000; ++i) this->Update();
  EXPECT_EQ(this->PaceOf(kSlowLabels, 1, 0), 1);
}

// At its start, a process knows endpoints of one rack, which looks like a kind.
TEST_F(KindPacesTest, LabelThatIsNoLongerKindIsForgotten) {
  const std::vector<std::string> first = {"kind-a", "a-rack"};
  this->Add(first, 2, kRuns, 3);
  this->Update();
  ASSERT_NE(this->kinds.Dump().find("a-rack"), std::string::npos);
  this->Add(kFastLabels, 1, kRuns, 20);
  this->Add(kSlowLabels, 1, kRuns, 20);
  this->Update();
  EXPECT_EQ(this->kinds.Dump().find("a-rack"), std::string::npos);
  EXPECT_FALSE(this->kinds.KindPace("s", &kFastLabels).has_value());
}

// What is known of a kind is replaced once enough endpoints are measured.
TEST_F(KindPacesTest, KeptPaceIsReplacedByMeasuredOne) {
  this->AddKinds(kFast, kSlow);
  this->Update();
  this->reports.clear();
  this->Update();
  this->AddKinds(kFast, 1.0);
  this->Update();
  EXPECT_NEAR(this->PaceOf(kSlowLabels, 1, 0), 1.0, 0.01);
}

// A process of an earlier version reports paces without the number of runs.
TEST_F(KindPacesTest, PaceWithUnknownRunsIsCorrectedAsMeasured) {
  this->AddKinds(kFast, kSlow);
  this->Update();
  EXPECT_GT(this->PaceOf(kFastLabels, 3 * kFast, 0), 2.9 * kFast);
}

TEST_F(KindPacesTest, KindsNearLimitStayInUse) {
  this->AddKinds(1, 1.2);
  this->Update();
  ASSERT_TRUE(this->kinds.KindPace("s", &kFastLabels).has_value());
  this->reports.clear();
  this->AddKinds(1, 1.13);
  this->Update();
  EXPECT_TRUE(this->kinds.KindPace("s", &kFastLabels).has_value());
  this->reports.clear();
  this->AddKinds(1, 1.08);
  this->Update();
  EXPECT_FALSE(this->kinds.KindPace("s", &kFastLabels).has_value());
  this->reports.clear();
  this->AddKinds(1, 1.13);
  this->Update();
  EXPECT_FALSE(this->kinds.KindPace("s", &kFastLabels).has_value());
}

TEST_F(KindPacesTest, KindIsLabelOfMostEndpointsThenFirstByName) {
  const std::vector<std::string> other_rack = {"kind-a", "rack-2"};
  this->AddKinds(kFast, kSlow);
  this->Add(other_rack, kFast, kRuns, 15);
  this->Update();
  // kind-a and rack-2 have 25 endpoints each, kind-b and rack-1 have 10.
  EXPECT_NEAR(this->PaceOf(kFastLabels, 1, 0), kFast, 0.01);
  EXPECT_EQ(this->kinds.Dump().find("kind-b"), std::string::npos);
  this->reports.clear();
  this->Add(kFastLabels, kFast, kRuns, 10);
  this->Update();
  EXPECT_NE(this->kinds.Dump().find(R"("kind":"kind-a")"), std::string::npos);
  EXPECT_EQ(this->kinds.Dump().find(R"("kind":"rack-1")"), std::string::npos);
}

// The learned pace of an endpoint has an error of 10% or more, while kinds
// differ by 30%: declared times are off by exp(0.4 z), and 3% of the runs are
// seven times as long.
TEST_F(KindPacesTest, NoisyRunsGiveSmallerErrorThanOwnPace) {
  constexpr double kLogStdDev = 0.4;
  constexpr double kTailShare = 0.03;
  constexpr double kTailFactor = 7;
  constexpr int kEndpoints = 117;
  constexpr int kRunsPerEndpoint = 60;
  constexpr base::Duration kDeclared{100'000};
  const std::vector<std::pair<std::string, double>> speeds = {
      {"kind-a", 1}, {"kind-b", 1}, {"kind-c", 1.3}};
  double own_squares = 0;
  double corrected_squares = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Random random(seed);
    const auto normal = [&random] {
      return std::sqrt(-2 * std::log(1 - random.UniformFraction())) *
             std::cos(2 * std::numbers::pi * random.UniformFraction());
    };
    this->reports.clear();
    std::deque<std::vector<std::string>> labels;
    std::vector<double> paces;
    for (int i = 0; i < kEndpoints; ++i) {
      const auto& [kind, pace] = speeds[i % speeds.size()];
      labels.push_back({kind, "rack-" + std::to_string(i % 11)});
      paces.push_back(pace);
      runs::EndpointHealth health;
      for (int run = 0; run < kRunsPerEndpoint; ++run) {
        const double tail = random.Chance(kTailShare) ? kTailFactor : 1;
        const double ratio = pace * tail * std::exp(kLogStdDev * normal());
        health.RecordDone(kDeclared,
                          base::Duration(std::llround(
                              ratio * static_cast<double>(kDeclared.count()))));
      }
      this->Add(labels.back(), health.Pace(), health.PaceRuns());
    }
    this->kinds = {};
    this->Update();
    for (int i = 0; i < kEndpoints; ++i) {
      own_squares += std::pow(std::log(this->reports[i].pace / paces[i]), 2);
      corrected_squares += std::pow(
          std::log(this->kinds.PaceOf(this->reports[i]) / paces[i]), 2);
    }
  }
  const double own_error = std::sqrt(own_squares / kEndpoints / 10);
  const double corrected_error = std::sqrt(corrected_squares / kEndpoints / 10);
  RecordProperty("own_error", std::to_string(own_error));
  RecordProperty("corrected_error", std::to_string(corrected_error));
  EXPECT_GT(own_error, 0.1);
  EXPECT_LT(corrected_error, 0.75 * own_error);
}

// The start value keeps the weight that the runs since have left it.
TEST(EndpointHealthTest, StartPaceCountsUntilRunsReplaceIt) {
  constexpr base::Duration kSecond{1'000'000};
  runs::EndpointHealth early;
  early.SetStartPace(kSlow);
  EXPECT_NEAR(early.Pace(), kSlow, 1e-9);
  runs::EndpointHealth late;
  for (int i = 0; i < 5; ++i) {
    early.RecordDone(kSecond, kSecond);
    late.RecordDone(kSecond, kSecond);
  }
  EXPECT_EQ(late.Pace(), 1);
  late.SetStartPace(kSlow);
  EXPECT_NEAR(late.Pace(), early.Pace(), 1e-9);
  EXPECT_EQ(late.PaceRuns(), 5);
}

TEST(EndpointHealthTest, RestartedEndpointStartsAtNewStartPace) {
  constexpr base::Duration kSecond{1'000'000};
  runs::EndpointHealth health;
  for (int i = 0; i < 30; ++i) health.RecordDone(kSecond, 2 * kSecond);
  const double before = health.Pace();
  health.RecordRestart();
  EXPECT_EQ(health.Pace(), before);
  EXPECT_EQ(health.PaceRuns(), 0);
  health.SetStartPace(kFast);
  EXPECT_NEAR(health.Pace(), kFast, 1e-9);
}

}  // namespace
}  // namespace hawthornwheel::testing
