// Parses and edits the targets document that operators write: an INI document
// of classes of work, capacity limits for each upstream of a service, and data
// centres. examples/thibodeaux.targets.ini has every key.

#ifndef BILBERRY_TARGETS_TARGET_DOCUMENT_H
#define BILBERRY_TARGETS_TARGET_DOCUMENT_H

#include "bilberry/base/error.h"
#include "bilberry/targets/targets.h"

#include <string>
#include <string_view>

namespace bilberry::targets {

/// Parses a document. Every finding is added to Problems with its place; the
/// result is valid only if Problems stays empty. File is the file name used in
/// findings. Never throws, whatever the text. Thread-safe.
Targets parseTargets(std::string_view Text, const std::string &File,
                     base::Findings &Problems);

/// The document with one data centre's `in-service` set and all else, comments
/// included, unchanged. Adds the section if it is missing. Thread-safe.
std::string withDataCentreState(std::string_view Text,
                                const base::DataCentreName &Name,
                                bool InService);

} // namespace bilberry::targets

#endif
