// The targets as an operator writes them: an INI document of classes of work,
// what an upstream of a service may bear, and data centres. See
// examples/thibodeaux.targets.ini for one with every key.

#ifndef BILBERRY_TARGETS_TARGET_DOCUMENT_H
#define BILBERRY_TARGETS_TARGET_DOCUMENT_H

#include "bilberry/base/error.h"
#include "bilberry/targets/targets.h"

#include <string>
#include <string_view>

namespace bilberry::targets {

/// Reads a document. Every finding is added to Problems with its place; the
/// result is of use only where Problems stays empty. File is the name that
/// findings give. Never throws, whatever the text. Thread-safe.
Targets parseTargets(std::string_view Text, const std::string &File,
                     base::Findings &Problems);

/// The document with one data centre's `in-service` set and nothing else
/// touched, comments included. Adds the section where it is missing.
std::string withDataCentre(std::string_view Text,
                           const base::DataCentreName &Name, bool InService);

} // namespace bilberry::targets

#endif
