#pragma once

#include <map>
#include <string>

#include "cactuswick/check/version/Finding.h"
#include "cactuswick/model/version/Resource.h"

namespace cactuswick::check {

/// A resource and the pointer of its entry in the checked file.
struct Placed
{
  model::Spec spec_;
  std::string pointer_;
  /// In the checked file, rather than only in force.
  bool isChecked_ = false;
};

/// By "type/name".
using PlacedSpecs = std::map<std::string, Placed>;

/// Finds limits of the checked resources that contradict each other, and keys
/// of two workspaces. Pure.
Findings
CheckResourceLimits(const PlacedSpecs& aSpecs);

} // namespace cactuswick::check
