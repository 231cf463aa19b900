#include "bilberry/log/log.h"

#include "bilberry/log/decision_limiter.h"
#include "bilberry/runtime/standard_streams.h"

#include <array>
#include <atomic>
#include <cstdlib>
#include <exception>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <memory>
#include <string>
#include <unistd.h>
#include <utility>

namespace bilberry::log {

// The names of the loggers. The appender derives the importance of a line from
// its level and from the logger.
static constexpr char EventLoggerName[] = "bilberry";
static constexpr char RoutineLoggerName[] = "bilberry.routine";
static constexpr char FailureLoggerName[] = "bilberry.failure";

// Never destroyed, so that threads can still log during process exit.
static log4cxx::LoggerPtr &logger(Importance Rank) {
  static auto &Instances = *new std::array<log4cxx::LoggerPtr, ImportanceCount>{
      log4cxx::Logger::getLogger(RoutineLoggerName),
      log4cxx::Logger::getLogger(EventLoggerName),
      log4cxx::Logger::getLogger(FailureLoggerName)};
  return Instances[static_cast<size_t>(Rank)];
}

// The writer of the present configuration, or null. Never destroyed either.
static std::atomic<LineWriter *> Writer{nullptr};

// Never destroyed.
static DecisionLimiter &decisionLimiter() {
  static auto &Instance = *new DecisionLimiter;
  return Instance;
}

static Importance importanceOf(const log4cxx::spi::LoggingEvent &Event) {
  bool IsFailure =
      Event.getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn()) ||
      Event.getLoggerName() == FailureLoggerName;
  if (IsFailure) {
    return Importance::Failure;
  }
  return Event.getLoggerName() == RoutineLoggerName ? Importance::Routine
                                                    : Importance::Event;
}

static std::string formatLine(const log4cxx::Layout &LineLayout,
                              const log4cxx::spi::LoggingEventPtr &Event,
                              log4cxx::helpers::Pool &Pool) {
  log4cxx::LogString Line;
  LineLayout.format(Line, Event, Pool);
  LOG4CXX_ENCODE_CHAR(Encoded, Line);
  return Encoded;
}

namespace {

// Passes formatted lines to a LineWriter.
class LineWriterAppender : public log4cxx::AppenderSkeleton {
public:
  LineWriterAppender(log4cxx::LayoutPtr LineLayout, LineWriter &Target)
      : AppenderSkeleton(LineLayout), LineLayout(std::move(LineLayout)),
        Target(Target) {}

  void close() override {}
  bool requiresLayout() const override { return true; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override {
    this->Target.write(importanceOf(*Event),
                       formatLine(*this->LineLayout, Event, Pool));
  }

private:
  log4cxx::LayoutPtr LineLayout;
  LineWriter &Target;
};

} // namespace

static std::string reportText(const MissingLines &Missing) {
  std::string Text = "event=log-lines-missing";
  for (size_t I = 0; I < ImportanceCount; ++I) {
    Text += " " + std::string(importanceText(static_cast<Importance>(I))) +
            "=" + std::to_string(Missing.LeftOut[I]);
  }
  return Text + " write-failed=" + std::to_string(Missing.WriteFailed) +
         " reason=\"standard output was not read in time\"";
}

static std::string formatReport(const log4cxx::Layout &LineLayout,
                                const MissingLines &Missing) {
  auto Event = std::make_shared<log4cxx::spi::LoggingEvent>(
      EventLoggerName, log4cxx::Level::getWarn(), reportText(Missing),
      LOG4CXX_LOCATION);
  log4cxx::helpers::Pool Pool;
  return formatLine(LineLayout, Event, Pool);
}

// Replaces the handler of the standard library, which would wait for the reader
// of standard error before it ends the process.
[[noreturn]] static void onTerminate() {
  std::string Reason = "terminated without an exception";
  if (std::exception_ptr Cause = std::current_exception()) {
    try {
      std::rethrow_exception(Cause);
    } catch (const std::exception &Caught) {
      Reason = std::string("uncaught exception: ") + Caught.what();
    } catch (...) {
      Reason = "uncaught exception of an unknown type";
    }
  }
  runtime::writeErrorIfWritable(Reason + "\n");
  std::abort();
}

static log4cxx::LevelPtr log4cxxLevel(Level MinLevel) {
  switch (MinLevel) {
  case Level::Debug:
    return log4cxx::Level::getDebug();
  case Level::Info:
    return log4cxx::Level::getInfo();
  case Level::Warn:
    return log4cxx::Level::getWarn();
  case Level::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

void configure(std::string_view Process, Level MinLevel, Layout Format) {
  log4cxx::LayoutPtr LineLayout;
  if (Format == Layout::Json) {
    LineLayout = std::make_shared<log4cxx::JSONLayout>();
  } else {
    std::string Pattern =
        "%d{yyyy-MM-dd HH:mm:ss.SSS} %p process=" + std::string(Process) +
        " %m%n";
    LineLayout = std::make_shared<log4cxx::PatternLayout>(Pattern);
  }
  runtime::openClosedStandardStreams();
  std::set_terminate(onTerminate);
  auto *NewWriter = new LineWriter(STDOUT_FILENO, MaxWaitingBytes,
                                   [LineLayout](const MissingLines &Missing) {
                                     return formatReport(*LineLayout, Missing);
                                   });
  if (Writer.exchange(NewWriter) == nullptr) {
    std::atexit([] { flush(ExitFlushTimeout); });
  }
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(
      std::make_shared<LineWriterAppender>(LineLayout, *NewWriter));
  setLevel(MinLevel);
}

void setLevel(Level MinLevel) {
  log4cxx::Logger::getRootLogger()->setLevel(log4cxxLevel(MinLevel));
}

static std::string cutMessage(std::string_view Message) {
  return std::string(Message.substr(0, MaxMessageBytes));
}

void info(std::string_view Message) {
  LOG4CXX_INFO(logger(Importance::Event), cutMessage(Message));
}
void warn(std::string_view Message) {
  LOG4CXX_WARN(logger(Importance::Event), cutMessage(Message));
}
void error(std::string_view Message) {
  LOG4CXX_ERROR(logger(Importance::Event), cutMessage(Message));
}

Importance importanceOf(const board::LogDecision &Decision) {
  switch (Decision.Kind) {
  case board::DecisionKind::FlowRefused:
  case board::DecisionKind::FlowReset:
  case board::DecisionKind::PacketDropped:
  case board::DecisionKind::RequestRefused:
  case board::DecisionKind::RequestUnknown:
  case board::DecisionKind::ShardLost:
    return Importance::Failure;
  case board::DecisionKind::ShardTaken:
  case board::DecisionKind::ShardHandedOver:
  case board::DecisionKind::LimitChanged:
    return Importance::Event;
  default:
    return Importance::Routine;
  }
}

Importance importanceOf(const packet::FlowDecision &Decision) {
  return Decision.EndsFlow ? Importance::Failure : Importance::Routine;
}

Importance importanceOf(const routing::Route &Route) {
  return Route.Receiver.empty() ? Importance::Failure : Importance::Routine;
}

// Whether a line about a decision may be written, which counts it.
static bool mayLogDecision(base::TimePoint Now, Importance Rank) {
  return logger(Rank)->isInfoEnabled() && decisionLimiter().allow(Now, Rank);
}

void logAgentDecision(base::TimePoint Now, const board::LogDecision &Decision) {
  Importance Rank = importanceOf(Decision);
  if (!mayLogDecision(Now, Rank)) {
    return;
  }
  std::string Line = "decision=";
  Line += board::decisionKindText(Decision.Kind);
  Line += " subject=" + Decision.Subject;
  Line += " to=" + (Decision.To.empty() ? "self" : Decision.To.text());
  Line += " reason=\"" + Decision.Reason + "\"";
  LOG4CXX_INFO(logger(Rank), Line);
}

void logFlowDecision(base::TimePoint Now,
                     const packet::FlowDecision &Decision) {
  Importance Rank = importanceOf(Decision);
  if (!mayLogDecision(Now, Rank)) {
    return;
  }
  std::string Line = "decision=" + std::string(Decision.DecisionName);
  Line += " flow=" + packet::flowIdText(Decision.Flow);
  if (Decision.To.Port != 0) {
    Line += " to=" + base::addressText(Decision.To);
  }
  Line += " version=" + std::to_string(Decision.RouteVersion);
  Line += " reason=\"" + std::string(Decision.Reason) + "\"";
  LOG4CXX_INFO(logger(Rank), Line);
}

void logRoutingDecision(base::TimePoint Now, std::string_view Subject,
                        const routing::Route &Route) {
  Importance Rank = importanceOf(Route);
  if (!mayLogDecision(Now, Rank)) {
    return;
  }
  std::string Line = "decision=route subject=" + std::string(Subject);
  Line += " to=" + (Route.Receiver.empty() ? "none" : Route.Receiver.text());
  Line += " reason=\"";
  Line += routing::routeReasonText(Route.Reason);
  LOG4CXX_INFO(logger(Rank), Line + "\"");
}

void flush(base::Duration Timeout) {
  if (LineWriter *Current = Writer) {
    Current->flush(Timeout);
  }
}

MissingLines missingLines() {
  LineWriter *Current = Writer;
  return Current ? Current->missing() : MissingLines();
}

uint64_t suppressedDecisions() { return decisionLimiter().suppressed(); }

size_t waitingBytes() {
  LineWriter *Current = Writer;
  return Current ? Current->waitingBytes() : 0;
}

} // namespace bilberry::log
