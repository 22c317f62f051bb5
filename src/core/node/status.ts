/** The status of a node for operators, served at `/v1/status`. */
import { toStoredRecord } from '../quarantine/index.ts'
import type { Admission } from '../admission/index.ts'
import type { BackendLimits } from '../backend-limits/index.ts'
import type { BackendTable } from '../backends/table.ts'
import type { Calls } from '../calls/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Configuration } from '../configuration/index.ts'
import type { Duties } from '../leases/index.ts'
import type { Readiness } from '../http/index.ts'
import type { NodeMembership } from '../membership/index.ts'
import type { Moves } from '../moves/index.ts'
import type { PeerNetwork } from '../peers/types.ts'
import type { Quarantine } from '../quarantine/index.ts'
import type { Drafts } from '../requests/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { VersionShares } from '../teams/index.ts'

/** Timeout for the status requests to peers. */
const peerStatusTimeoutMs = 1_000

/** Components that the status is read from. */
export interface StatusOptions {
  clock: Clock
  admission: Admission
  table: BackendTable
  calls: Calls
  configuration: Configuration
  membership: NodeMembership
  network: PeerNetwork
  drafts: Drafts
  quarantine: Pick<Quarantine, 'records'>
  requestLimits: Pick<BackendLimits, 'list'>
  duties: Duties
  readiness: () => Readiness
  sharesOf: (team: TeamId) => VersionShares | undefined
  moves: Pick<Moves, 'list'>
}

/** Reads the status of this node, its backend servers and teams, and the configuration revision of each peer. */
export async function readStatus (options: StatusOptions): Promise<unknown> {
  const { configuration, membership, table } = options
  const own = configuration.status()
  const peers = await configuration.statusOfPeers(options.clock.wallMs() + peerStatusTimeoutMs)
  const lagging = [...peers.values()].filter(status => status.revision < own.heardRevision).length
  return {
    node: membership.self.node,
    failureDomain: membership.self.domain,
    readiness: options.readiness(),
    configuration: { ...own, lagging, peers: Object.fromEntries(peers) },
    membership: membership.status(),
    load: options.admission.load(),
    openDrafts: options.drafts.openCount(),
    ownedCallShards: options.calls.ownedShards(),
    duties: options.duties.held(),
    control: options.network.traffic(),
    backends: table.all(),
    quarantine: options.quarantine.records().map(toStoredRecord),
    requestLimits: options.requestLimits.list(),
    moves: options.moves.list(),
    teams: [...configuration.current().teams.values()].map(({ team, version, move }) => ({
      team,
      version,
      move,
      shares: options.sharesOf(team)?.shares ?? [],
      load: options.admission.load(team)
    }))
  }
}
