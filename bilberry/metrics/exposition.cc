#include "bilberry/metrics/exposition.h"

#include <cmath>
#include <sstream>

namespace bilberry::metrics {

static std::string numberText(double Value) {
  if (std::isinf(Value)) {
    return "+Inf";
  }
  std::ostringstream Out;
  Out.precision(12);
  Out << Value;
  return Out.str();
}

// A label's value with the three characters that the format escapes.
static std::string escaped(const std::string &Value) {
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

void Exposition::head(std::string_view Name, std::string_view Help,
                      std::string_view Type) {
  if (this->LastHead == Name) {
    return;
  }
  this->LastHead = Name;
  this->Text += "# HELP " + this->LastHead + " " + std::string(Help) + "\n";
  this->Text += "# TYPE " + this->LastHead + " " + std::string(Type) + "\n";
}

void Exposition::sample(std::string_view Name, const std::vector<Label> &Labels,
                        double Value) {
  this->Text += Name;
  const char *Separator = "{";
  for (const Label &Item : Labels) {
    this->Text += Separator + Item.Name + "=\"" + escaped(Item.Value) + "\"";
    Separator = ",";
  }
  if (!Labels.empty()) {
    this->Text += "}";
  }
  this->Text += " " + numberText(Value) + "\n";
}

void Exposition::counter(std::string_view Name, std::string_view Help,
                         uint64_t Value, const std::vector<Label> &Labels) {
  this->head(Name, Help, "counter");
  this->sample(Name, Labels, static_cast<double>(Value));
}

void Exposition::gauge(std::string_view Name, std::string_view Help,
                       double Value, const std::vector<Label> &Labels) {
  this->head(Name, Help, "gauge");
  this->sample(Name, Labels, Value);
}

void Exposition::histogram(std::string_view Name, std::string_view Help,
                           const LatencyHistogram &Value) {
  this->head(Name, Help, "histogram");
  std::string Base(Name);
  std::vector<CumulativeBucket> Buckets = Value.buckets();
  for (const CumulativeBucket &Bucket : Buckets) {
    this->sample(Base + "_bucket", {{"le", numberText(Bucket.UpTo)}},
                 static_cast<double>(Bucket.Count));
  }
  this->sample(Base + "_sum", {}, Value.sumSeconds());
  this->sample(Base + "_count", {}, static_cast<double>(Buckets.back().Count));
}

} // namespace bilberry::metrics
