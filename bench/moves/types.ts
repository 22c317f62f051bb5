/** Plans and results of simulated version moves. */

/** How the new version behaves; `good` means without a regression. */
export type VersionBehavior =
  | 'good'
  | 'failing-at-once'
  | 'slow-at-once'
  | 'slow-between-tokens'
  | 'failing-later'
  | 'slow-later'
  | 'failing-under-load'
  | 'failing-on-one-route'

/** The fault that is injected during the move. */
export type Fault =
  | 'none'
  /** The node that holds the duty of moving versions stops for good. */
  | 'holder-killed'
  /** The duty holder is suspended for a part of the window. */
  | 'holder-frozen'
  /** The key-value service is down for a part of the window. */
  | 'service-down'
  /** The key-value service is down from shortly before the deadline until shortly after it. */
  | 'service-down-at-deadline'
  /** Some transactions take effect at the key-value service, but their responses are lost. */
  | 'answers-lost'
  /** The links between the duty holder and all other nodes are cut for a part of the window. */
  | 'peer-links-cut'

/** Behaviors of consecutive trials; every other version is good, to measure false alarms. */
export const versionBehaviors: readonly VersionBehavior[] = [
  'good', 'failing-at-once', 'good', 'slow-at-once', 'good', 'slow-between-tokens', 'good', 'failing-later',
  'good', 'slow-later', 'good', 'failing-under-load', 'good', 'failing-on-one-route'
]

export const faultKinds: readonly Fault[] = [
  'none', 'holder-killed', 'holder-frozen', 'service-down', 'service-down-at-deadline', 'answers-lost', 'peer-links-cut'
]

/** The plan of one trial. */
export interface TrialPlan {
  seed: number
  /** How the new version of this move behaves; `good` means without a regression. */
  badness: VersionBehavior
  fault: Fault
  /** Whether both versions fail for another reason from shortly after the declaration until the deadline; false by default. */
  isServiceFailing?: boolean
  /** Requests per second of the team at its usual load. */
  requestsPerSecond: number
  /** Time from the declaration of the move to its deadline. */
  windowMs: number
}

/** The result of one trial; `--each` prints it as JSON. */
export interface TrialResult {
  plan: TrialPlan
  /** The recorded end of the move: `done` if the new version serves all requests, `taken-back` if the old one does, `none` if no end was recorded. */
  word: 'done' | 'taken-back' | 'none'
  reason: string
  /** Whether all live nodes served a single version at the deadline, and at the end of the trial the one that the recorded end says. */
  agreed: boolean
  /** Requests sent to the new version before the deadline. */
  newRequests: number
  /** Those of `newRequests` whose response has a regression, such as a failure or a slow first token. */
  badAnswers: number
  /** The new version's share of the team's requests from the start of the move until its regression was detected, or until the deadline if it never was; 0 for a good version. */
  shareBeforeShown: number
  /** Time from the end of the first response with a regression to the last request sent to the new version; 0 if that request was sent earlier, undefined if either is missing. */
  firstBadToLastNewMs: number | undefined
  /** Time from the first detection of the regression on any node to the last request sent to the new version; 0 if that request was sent earlier, undefined if either is missing, such as when the regression is never detected. */
  shownToLastNewMs: number | undefined
  keyValueCalls: number
}
