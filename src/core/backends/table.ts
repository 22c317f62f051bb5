/**
 * Table of the backend servers that this node knows from the instance list, reclaim
 * notices, peers and the servers themselves. The list may be stale, so a backend server
 * that is known to be leaving stays so, whatever the list says.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendId, TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { Backend, EngineClient, ServiceClient } from './types.ts'

/** Number of peers to which each node forwards the notice of a leaving backend server. */
const noticeFanOut = 4

/** Dependencies of the table. */
export interface BackendTableOptions {
  clock: Clock
  log: Log
  network: PeerNetwork
  membership: Membership
  /** Returns evenly distributed numbers from 0 to 1 from a seeded source. */
  random: () => number
  createEngine: (backend: Backend) => EngineClient
  createService: (backend: Backend) => ServiceClient
  /** Called once when a backend server starts to leave. */
  onLeaving: (backend: Backend) => void
  /** Called once when a backend server has disappeared from the list. */
  onGone: (backend: BackendId) => void
}

/** The backend servers of one node. */
export interface BackendTable {
  /** Returns the backend servers of a team, in any state. */
  ofTeam: (team: TeamId) => readonly Backend[]
  find: (backend: BackendId) => Backend | undefined
  all: () => readonly Backend[]
  engineOf: (backend: BackendId) => EngineClient | undefined
  serviceOf: (backend: BackendId) => ServiceClient | undefined
  /** Applies the current instance list. */
  update: (listed: readonly Backend[]) => void
  /** Marks a backend server as leaving and notifies peers if that is new. `goneAtMs` is the wall time of its end, if known. */
  markLeaving: (backend: BackendId, goneAtMs: number | undefined) => void
  close: () => Promise<void>
}

interface BackendEntry {
  backend: Backend
  engine?: EngineClient
  service?: ServiceClient
}

/** Creates an empty table. */
export function createBackendTable (options: BackendTableOptions): BackendTable {
  const entries = new Map<BackendId, BackendEntry>()
  const leaving = new Map<BackendId, number | undefined>()
  let byTeam = new Map<TeamId, Backend[]>()

  options.network.handle('backends/leaving', (_from, body) => {
    const { backend, goneAtMs } = body as { backend: BackendId, goneAtMs: number | undefined }
    markLeaving(backend, goneAtMs)
  })

  function rebuildTeamIndex (): void {
    byTeam = new Map()
    for (const { backend } of entries.values()) {
      const list = byTeam.get(backend.team)
      if (list === undefined) byTeam.set(backend.team, [backend])
      else list.push(backend)
    }
  }

  function add (backend: Backend): BackendEntry {
    const client = backend.kind === 'model-engine'
      ? { engine: options.createEngine(backend) }
      : { service: options.createService(backend) }
    const entry = { backend, ...client }
    entries.set(backend.id, entry)
    return entry
  }

  /** Keeps the state `leaving` that another source reported, because the list may be stale. */
  function keepLeavingState (listed: Backend): Backend {
    if (listed.state === 'leaving' || !leaving.has(listed.id)) return listed
    const goneAtMs = leaving.get(listed.id)
    return { ...listed, state: 'leaving', ...(goneAtMs === undefined ? {} : { goneAtMs }) }
  }

  function update (listed: readonly Backend[]): void {
    const ids = new Set(listed.map(backend => backend.id))
    for (const backend of listed) {
      const entry = entries.get(backend.id) ?? add(backend)
      const wasLeaving = entry.backend.state === 'leaving' && leaving.has(backend.id)
      entry.backend = keepLeavingState(backend)
      if (entry.backend.state === 'leaving' && !wasLeaving) announceLeaving(entry.backend)
    }
    for (const id of [...entries.keys()]) if (!ids.has(id)) remove(id)
    rebuildTeamIndex()
  }

  function remove (id: BackendId): void {
    const entry = entries.get(id)
    entries.delete(id)
    leaving.delete(id)
    entry?.engine?.close().catch(() => {})
    entry?.service?.close().catch(() => {})
    options.onGone(id)
  }

  function markLeaving (id: BackendId, goneAtMs: number | undefined): void {
    if (leaving.has(id)) return
    const entry = entries.get(id)
    // Stores the notice of an unknown backend server, because the list may contain it later.
    if (entry === undefined) {
      leaving.set(id, goneAtMs)
      return
    }
    entry.backend = { ...entry.backend, state: 'leaving', ...(goneAtMs === undefined ? {} : { goneAtMs }) }
    rebuildTeamIndex()
    announceLeaving(entry.backend)
  }

  /** Forwards the notice to a few random peers, each of which does the same, so that it reaches all nodes even if messages are lost. */
  function announceLeaving (backend: Backend): void {
    leaving.set(backend.id, backend.goneAtMs)
    options.log('backendLeaving', { backend: backend.id, goneAtMs: backend.goneAtMs })
    options.onLeaving(backend)
    const peers = [...options.membership.peers()]
    for (let sentCount = 0; sentCount < noticeFanOut && peers.length > 0; sentCount++) {
      const [peer] = peers.splice(Math.floor(options.random() * peers.length), 1)
      if (peer !== undefined) options.network.send(peer, 'backends/leaving', { backend: backend.id, goneAtMs: backend.goneAtMs })
    }
  }

  async function close (): Promise<void> {
    const closingEntries = [...entries.values()]
    entries.clear()
    await Promise.all(closingEntries.map(entry => entry.engine?.close() ?? entry.service?.close()))
  }

  return {
    ofTeam: team => byTeam.get(team) ?? [],
    find: id => entries.get(id)?.backend,
    all: () => [...entries.values()].map(({ backend }) => backend),
    engineOf: id => entries.get(id)?.engine,
    serviceOf: id => entries.get(id)?.service,
    update,
    markLeaving,
    close
  }
}
