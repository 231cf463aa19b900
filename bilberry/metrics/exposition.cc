#include "bilberry/metrics/exposition.h"

#include <cmath>
#include <sstream>

namespace bilberry::metrics {

static std::string formatNumber(double Value) {
  if (std::isinf(Value)) {
    return "+Inf";
  }
  std::ostringstream Out;
  Out.precision(12);
  Out << Value;
  return Out.str();
}

// Escapes the three characters that the format requires: newline, double quote
// and backslash.
static std::string escapeLabelValue(const std::string &Value) {
  std::string Out;
  for (char C : Value) {
    if (C == '\n') {
      Out += "\\n";
      continue;
    }
    if (C == '"' || C == '\\') {
      Out += '\\';
    }
    Out += C;
  }
  return Out;
}

void Exposition::writeHeader(std::string_view Name, std::string_view Help,
                             std::string_view Type) {
  if (this->LastHeaderName == Name) {
    return;
  }
  this->LastHeaderName = Name;
  this->Text +=
      "# HELP " + this->LastHeaderName + " " + std::string(Help) + "\n";
  this->Text +=
      "# TYPE " + this->LastHeaderName + " " + std::string(Type) + "\n";
}

void Exposition::writeSample(std::string_view Name,
                             const std::vector<Label> &Labels, double Value) {
  this->Text += Name;
  const char *Separator = "{";
  for (const Label &Item : Labels) {
    this->Text +=
        Separator + Item.Name + "=\"" + escapeLabelValue(Item.Value) + "\"";
    Separator = ",";
  }
  if (!Labels.empty()) {
    this->Text += "}";
  }
  this->Text += " " + formatNumber(Value) + "\n";
}

void Exposition::counter(std::string_view Name, std::string_view Help,
                         uint64_t Value, const std::vector<Label> &Labels) {
  this->writeHeader(Name, Help, "counter");
  this->writeSample(Name, Labels, static_cast<double>(Value));
}

void Exposition::gauge(std::string_view Name, std::string_view Help,
                       double Value, const std::vector<Label> &Labels) {
  this->writeHeader(Name, Help, "gauge");
  this->writeSample(Name, Labels, Value);
}

void Exposition::histogram(std::string_view Name, std::string_view Help,
                           const LatencyHistogram &Value) {
  this->writeHeader(Name, Help, "histogram");
  std::string MetricName(Name);
  std::vector<CumulativeBucket> Buckets = Value.buckets();
  for (const CumulativeBucket &Bucket : Buckets) {
    this->writeSample(MetricName + "_bucket",
                      {{"le", formatNumber(Bucket.UpperBoundSeconds)}},
                      static_cast<double>(Bucket.Count));
  }
  this->writeSample(MetricName + "_sum", {}, Value.sumSeconds());
  this->writeSample(MetricName + "_count", {},
                    static_cast<double>(Buckets.back().Count));
}

} // namespace bilberry::metrics
