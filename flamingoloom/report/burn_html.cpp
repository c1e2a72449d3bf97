#include "flamingoloom/report/burn_html.h"

#include <algorithm>

#include <fmt/format.h>

namespace flamingoloom::report {
namespace {

constexpr int kBarWidth = 6;
constexpr int kPlotHeight = 80;
constexpr int kPlotWidth = kBarWidth * static_cast<int>(kBucketsPerWindow);
// Smallest burn rate at the top of a plot. It is above 1, so that the line at
// burn rate 1 is visible when all rates are low.
constexpr double kMinScale = 2;

std::string Escape(const std::string& aText)
{
  std::string out;
  for (char c : aText) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

// Returns aFallback for a rate without a bound, so that such a bucket can be
// drawn at full height.
double RateOr(const CompletionCounts& aCounts,
              double aObjective,
              double aFallback)
{
  return BurnRate(aCounts, aObjective).value_or(aFallback);
}

// Returns the burn rate at the top of the plot.
double PlotScale(const History& aHistory, double aObjective)
{
  double scale = kMinScale;
  for (const CompletionCounts& bucket : aHistory) {
    scale = std::max(scale, RateOr(bucket, aObjective, 0));
  }
  return scale;
}

// Draws one bar: grey up to burn rate 1, red above it.
std::string Bar(std::size_t aAge,
                const CompletionCounts& aCounts,
                double aObjective,
                double aScale)
{
  if (aCounts.mEnded == 0) {
    return {};
  }
  double rate = RateOr(aCounts, aObjective, aScale);
  double height = std::max(1.0, rate / aScale * kPlotHeight);
  int x = kPlotWidth - (static_cast<int>(aAge) + 1) * kBarWidth;
  return fmt::format(
    "<rect x=\"{}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" "
    "fill=\"{}\"><title>{} of {} in time</title></rect>\n",
    x,
    kPlotHeight - height,
    kBarWidth - 1,
    height,
    rate > 1 ? "#c0392b" : "#7f8c8d",
    aCounts.mInTime,
    aCounts.mEnded);
}

std::string Plot(const PairReport& aPair, std::size_t aWindow)
{
  const History& history = aPair.mWindows[aWindow];
  double scale = PlotScale(history, aPair.mObjective);
  double line = kPlotHeight - kPlotHeight / scale;
  std::string bars;
  for (std::size_t age = 0; age < history.size(); ++age) {
    bars += Bar(age, history[age], aPair.mObjective, scale);
  }
  return fmt::format(
    "<figure><figcaption>Burn rate over the last {0}, newest at the right; "
    "top {1:.1f}, dashed line 1</figcaption>\n"
    "<svg role=\"img\" width=\"{2}\" height=\"{3}\" viewBox=\"0 0 {2} {3}\">\n"
    "<rect width=\"{2}\" height=\"{3}\" fill=\"#f4f4f4\"/>\n{4}"
    "<line x1=\"0\" x2=\"{2}\" y1=\"{5:.1f}\" y2=\"{5:.1f}\" stroke=\"#000\" "
    "stroke-dasharray=\"4\"/>\n</svg></figure>\n",
    kBurnWindows[aWindow].mName,
    scale,
    kPlotWidth,
    kPlotHeight,
    bars,
    line);
}

std::string TableRow(const PairReport& aPair)
{
  std::string cells;
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    cells += fmt::format("<td>{}</td>", RateText(aPair.Rate(i)));
  }
  CompletionCounts ended = aPair.Ended(kBudgetWindow);
  return fmt::format("<tr><td>{}</td><td>{}</td><td>{:g}%</td>{}<td>{}</td>"
                     "<td>{}</td><td>{}</td></tr>\n",
                     Escape(aPair.mAccount.Value()),
                     Escape(aPair.mKind.Value()),
                     aPair.mObjective * 100,
                     cells,
                     BudgetText(aPair.Budget()),
                     ended.mInTime,
                     ended.mEnded);
}

std::string Table(const BurnReport& aReport)
{
  std::string head;
  for (const BurnWindow& window : kBurnWindows) {
    head += fmt::format("<th>burn {}</th>", window.mName);
  }
  std::string rows;
  for (const PairReport& pair : aReport.mPairs) {
    rows += TableRow(pair);
  }
  return fmt::format(
    "<table><tr><th>account</th><th>kind</th><th>objective</th>{}"
    "<th>budget left</th><th>in time 3d</th><th>ended 3d</th></tr>\n{}"
    "</table>\n",
    head,
    rows);
}

std::string Plots(const BurnReport& aReport)
{
  std::string plots;
  for (const PairReport& pair : aReport.mPairs) {
    plots += fmt::format("<h2>{}: {}</h2>\n",
                         Escape(pair.mAccount.Value()),
                         Escape(pair.mKind.Value()));
    for (std::size_t i = 0; i < kWindowCount; ++i) {
      plots += Plot(pair, i);
    }
  }
  return plots;
}

std::string Sources(const BurnReport& aReport)
{
  std::string items;
  for (const CountingInstance& instance : aReport.mInstances) {
    items += fmt::format("<li>{} has counted for {} s{}</li>\n",
                         Escape(instance.mId),
                         base::ToMilliseconds(instance.mCountingFor) / 1000,
                         instance.mTotalsOnly ? kTotalsNote : "");
  }
  for (const MissingInstance& missing : aReport.mMissing) {
    items += fmt::format("<li><strong>missing: {}</strong>: {}</li>\n",
                         Escape(missing.mId),
                         Escape(missing.mReason));
  }
  if (aReport.mNotCounted > 0) {
    items += fmt::format("<li>{} requests were not counted because there were "
                         "too many pairs of account and kind</li>\n",
                         aReport.mNotCounted);
  }
  return fmt::format(
    "<h2>Instances</h2>\n<ul>\n{}</ul>\n<p>{}</p>\n", items, kHistoryNote);
}

} // namespace

std::string BurnHtml(const BurnReport& aReport, const std::string& aReportTime)
{
  return fmt::format(
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<title>Burn report</title>\n<style>body{{font-family:sans-serif}}"
    "td,th{{padding:2px 10px;text-align:left}}figure{{display:inline-block;"
    "margin:8px}}figcaption{{font-size:small}}</style></head>\n"
    "<body><h1>Burn report</h1>\n<p>{}</p>\n{}{}{}</body></html>\n",
    Escape(aReportTime),
    Table(aReport),
    Sources(aReport),
    Plots(aReport));
}

} // namespace flamingoloom::report
