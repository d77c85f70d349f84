#include "cactuswick/settings/process/SettingList.h"

namespace cactuswick::settings {

namespace {

AnySetting
EraseType(const TextSetting& aSetting)
{
  return { .section_ = aSetting.section_,
           .key_ = aSetting.key_,
           .textDefault_ = aSetting.default_,
           .format_ = aSetting.format_,
           .unitOrChoices_ = aSetting.unitOrChoices_,
           .help_ = aSetting.help_ };
}

AnySetting
EraseType(const IntegerSetting& aSetting)
{
  return { .section_ = aSetting.section_,
           .key_ = aSetting.key_,
           .integerDefault_ = aSetting.default_,
           .format_ = aSetting.format_,
           .unitOrChoices_ = aSetting.unitOrChoices_,
           .help_ = aSetting.help_,
           .min_ = aSetting.min_,
           .max_ = aSetting.max_ };
}

template<class... Settings>
std::vector<AnySetting>
ListOf(const Settings&... aSettings)
{
  return { EraseType(aSettings)... };
}

} // namespace

const std::vector<AnySetting>&
AllSettings()
{
  static const auto kAll = ListOf(kVm,
                                  kFailureDomain,
                                  kRegion,
                                  kRoles,
                                  kMemoryMb,
                                  kHeadTimeoutMs,
                                  kBodyTimeoutMs,
                                  kControlListen,
                                  kControlDataDir,
                                  kControlReplicas,
                                  kControlSeeds,
                                  kControlBootstrap,
                                  kToleratedVms,
                                  kControlApiListen,
                                  kControlEntryListen,
                                  kControlMaxDescriptors,
                                  kControlEntryTtlS,
                                  kEndpointHeartbeatMs,
                                  kControlMetricsListen,
                                  kHeartbeatMs,
                                  kElectionMs,
                                  kSnapshotEntries,
                                  kKeptEntries,
                                  kRouterListen,
                                  kRouterPeerListen,
                                  kRouterPeerAdvertise,
                                  kRouterTunnelListen,
                                  kRouterControl,
                                  kRouterControlPort,
                                  kRouterMetricsListen,
                                  kRouterEntryTtlMs,
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
                                  kForwardPrefillIntervalMs,
                                  kQuarantineCrashes,
                                  kQuarantineWindowS,
                                  kQuarantineProbeS,
                                  kOperatorKeySha256,
                                  kEndpointKeySha256,
                                  kLogLevel,
                                  kLogFormat);
  return kAll;
}

} // namespace cactuswick::settings
