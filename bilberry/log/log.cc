#include "bilberry/log/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <string>

namespace bilberry::log {

// Never destroyed, so that threads can still log during process exit.
static log4cxx::LoggerPtr &logger() {
  static auto &Instance =
      *new log4cxx::LoggerPtr(log4cxx::Logger::getLogger("bilberry"));
  return Instance;
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
  auto Console = std::make_shared<log4cxx::ConsoleAppender>(
      LineLayout, log4cxx::ConsoleAppender::getSystemOut());
  log4cxx::BasicConfigurator::configure(Console);
  setLevel(MinLevel);
}

void setLevel(Level MinLevel) {
  log4cxx::Logger::getRootLogger()->setLevel(log4cxxLevel(MinLevel));
}

void info(std::string_view Message) {
  LOG4CXX_INFO(logger(), std::string(Message));
}
void warn(std::string_view Message) {
  LOG4CXX_WARN(logger(), std::string(Message));
}
void error(std::string_view Message) {
  LOG4CXX_ERROR(logger(), std::string(Message));
}

void logAgentDecision(const board::LogDecision &Decision) {
  if (!logger()->isInfoEnabled()) {
    return;
  }
  std::string Line = "decision=";
  Line += board::decisionKindText(Decision.Kind);
  Line += " subject=" + Decision.Subject;
  Line += " to=" + (Decision.To.empty() ? "self" : Decision.To.text());
  Line += " reason=\"" + Decision.Reason + "\"";
  info(Line);
}

void logFlowDecision(const packet::FlowDecision &Decision) {
  if (!logger()->isInfoEnabled()) {
    return;
  }
  std::string Line = "decision=" + std::string(Decision.DecisionName);
  Line += " flow=" + packet::flowIdText(Decision.Flow);
  if (Decision.To.Port != 0) {
    Line += " to=" + base::addressText(Decision.To);
  }
  Line += " version=" + std::to_string(Decision.RouteVersion);
  Line += " reason=\"" + std::string(Decision.Reason) + "\"";
  info(Line);
}

void logRoutingDecision(std::string_view Subject, const routing::Route &Route) {
  if (!logger()->isInfoEnabled()) {
    return;
  }
  std::string Line = "decision=route subject=" + std::string(Subject);
  Line += " to=" + (Route.Receiver.empty() ? "none" : Route.Receiver.text());
  Line += " reason=\"";
  Line += routing::routeReasonText(Route.Reason);
  info(Line + "\"");
}

} // namespace bilberry::log
