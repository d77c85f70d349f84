#include "cactuswick/settings/process/SettingList.h"

namespace cactuswick::settings {

namespace {

AnySetting
Untyped(const TextSetting& aSetting)
{
  return { .section_ = aSetting.section_,
           .key_ = aSetting.key_,
           .textDefault_ = aSetting.default_,
           .shape_ = aSetting.shape_,
           .unit_ = aSetting.unit_,
           .help_ = aSetting.help_ };
}

AnySetting
Untyped(const IntegerSetting& aSetting)
{
  return { .section_ = aSetting.section_,
           .key_ = aSetting.key_,
           .integerDefault_ = aSetting.default_,
           .shape_ = aSetting.shape_,
           .unit_ = aSetting.unit_,
           .help_ = aSetting.help_,
           .low_ = aSetting.low_,
           .high_ = aSetting.high_ };
}

template<class... Settings>
std::vector<AnySetting>
List(const Settings&... aSettings)
{
  return { Untyped(aSettings)... };
}

} // namespace

const std::vector<AnySetting>&
AllSettings()
{
  static const auto kAll = List(kVm,
                                kFailureDomain,
                                kRegion,
                                kRoles,
                                kControlListen,
                                kControlDataDir,
                                kControlReplicas,
                                kControlSeeds,
                                kControlFounds,
                                kToleratedVms,
                                kControlApiListen,
                                kControlEntryListen,
                                kEntryListTtlS,
                                kEndpointHeartbeatMs,
                                kControlMetricsListen,
                                kHeartbeatMs,
                                kElectionMs,
                                kSnapshotEntries,
                                kKeptEntries,
                                kRouterListen,
                                kRouterPeerListen,
                                kRouterPeerAdvertise,
                                kRouterControl,
                                kRouterControlPort,
                                kRouterMetricsListen,
                                kEntryTtlMs,
                                kDrainMs,
                                kQueueLimit,
                                kEndpointFirstTokenMs,
                                kMaxBodyBytes,
                                kMaxAnswerBytes,
                                kMaxInFlight,
                                kMaxDescriptors,
                                kConnectTimeoutMs,
                                kFirstByteTimeoutMs,
                                kProgressTimeoutMs,
                                kSettleTimeoutMs,
                                kForwardListen,
                                kForwardReadyListen,
                                kForwardLeaveMs,
                                kForwardGraceS,
                                kForwardRetryRatio,
                                kForwardRetrySlack,
                                kOperatorKeySha256,
                                kEndpointKeySha256,
                                kLogLevel,
                                kLogFormat);
  return kAll;
}

} // namespace cactuswick::settings
