/**
 * Observes a team's fleet: the instances that the cloud bills, with the role,
 * versions and load that their backend servers report.
 */
import type { BackendTable } from '../backends/table.ts'
import type { BackendState, EngineClient, ServiceClient } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { FleetInstance, FleetObservation, OfferEvent } from '../fleet/index.ts'
import type { InstanceId, TeamId, VersionId } from '../ids/index.ts'
import type { Cloud, CloudInstance } from '../platform/cloud/index.ts'
import type { TeamDeclaration } from '../teams/index.ts'

/** Timeout of a request to the cloud or to a backend server. */
const responseTimeoutMs = 2_000
/** Maximum age of a load report; the load of a draining engine is only trusted after this time. */
const maxLoadReportAgeMs = 10_000
/** Maximum number of reclaims that are kept; older ones no longer influence price estimates. */
const maxReclaims = 200

/** Options of `createFleetObserver`. */
export interface FleetObserverOptions {
  clock: Clock
  cloud: Pick<Cloud, 'instances'>
  table: BackendTable
  team: TeamId
  findTeam: (team: TeamId) => TeamDeclaration | undefined
}

/** The observer of one team. */
export interface FleetObserver {
  /** Undefined when the team isn't declared or the cloud doesn't respond. */
  observe: () => Promise<FleetObservation | undefined>
}

/** State of one instance. */
interface InstanceObservation {
  instance: FleetInstance
  requests: number
  /** Versions that its backend server runs or loads; undefined when unknown. */
  versions: readonly VersionId[] | undefined
}

/** The clients of an instance's backend server. */
export interface InstanceClients {
  engine: EngineClient | undefined
  service: ServiceClient | undefined
}

/** Finds the clients of an instance; both are undefined while the instance list doesn't contain it. */
export function clientsOfInstance (table: BackendTable, team: TeamId, instance: InstanceId): InstanceClients {
  const backend = table.ofTeam(team).find(other => other.instance === instance)
  if (backend === undefined) return { engine: undefined, service: undefined }
  return { engine: table.engineOf(backend.id), service: table.serviceOf(backend.id) }
}

/** Creates the observer of one team. */
export function createFleetObserver (options: FleetObserverOptions): FleetObserver {
  const { clock, cloud, table, team, findTeam } = options
  const drainStartMs = new Map<InstanceId, number>()
  const versionsByInstance = new Map<InstanceId, readonly VersionId[]>()
  const recordedReclaims = new Set<InstanceId>()
  let reclaims: OfferEvent[] = []

  const deadline = (): number => clock.wallMs() + responseTimeoutMs

  function recordReclaim ({ id, domain, machineClass, purchase }: CloudInstance): void {
    if (recordedReclaims.has(id)) return
    recordedReclaims.add(id)
    reclaims = [...reclaims, { domain, machineClass, purchase, atMs: clock.wallMs() }].slice(-maxReclaims)
  }

  /** Time since the backend server was first seen draining; 0 while it serves. */
  function drainedForMs (id: InstanceId, state: BackendState | undefined): number {
    if (state?.role === 'serve') drainStartMs.delete(id)
    if (state?.role === 'drain' && !drainStartMs.has(id)) drainStartMs.set(id, clock.monotonicMs())
    const sinceMs = drainStartMs.get(id)
    return sinceMs === undefined ? 0 : clock.monotonicMs() - sinceMs
  }

  async function observeInstance (listed: CloudInstance, declaration: TeamDeclaration): Promise<InstanceObservation> {
    const { id, name, version, domain, machineClass, purchase, priceMilliEuroPerHour } = listed
    const { engine, service } = clientsOfInstance(table, team, id)
    const response = await (engine ?? service)?.state(deadline())
    const state = response?.isOk === true ? response.value : undefined
    if (state !== undefined) versionsByInstance.set(id, [...state.versions, ...state.loading])
    const drainingMs = drainedForMs(id, state)
    // The load is read after the role, so that the load of a draining backend server can only decrease.
    const load = await engine?.load(deadline())
    const requests = load?.isOk === true ? load.value.running + load.value.waiting : 0
    const instance = { id, name, version, domain, machineClass, purchase, priceMilliEuroPerHour }
    const versions = versionsByInstance.get(id)
    // The cloud stops a reclaimed instance itself; `running` of at least 1 prevents an earlier stop.
    if (listed.state === 'leaving') {
      recordReclaim(listed)
      return { instance: { ...instance, state: 'leaving', running: Math.max(1, requests) }, requests, versions }
    }
    if (engine === undefined && service === undefined) return { instance: { ...instance, state: 'starting', running: 0 }, requests, versions }
    const isLoaded = listed.state === 'live' && state?.versions.length !== 0
    if (!drainStartMs.has(id)) return { instance: { ...instance, state: isLoaded ? 'live' : 'starting', running: requests }, requests, versions }
    // Plain services report no load, but no request lasts longer than `maxRequestMs`.
    const isLoadCurrent = engine === undefined ? drainingMs > declaration.maxRequestMs : load?.isOk === true && drainingMs > maxLoadReportAgeMs
    return { instance: { ...instance, state: 'leaving', running: isLoadCurrent ? requests : Math.max(1, requests) }, requests, versions }
  }

  function forgetUnlisted (listed: readonly CloudInstance[]): void {
    const ids = new Set(listed.map(({ id }) => id))
    for (const byInstance of [drainStartMs, versionsByInstance, recordedReclaims]) {
      for (const id of byInstance.keys()) if (!ids.has(id)) byInstance.delete(id)
    }
  }

  async function observe (): Promise<FleetObservation | undefined> {
    const declaration = findTeam(team)
    const listed = await cloud.instances(deadline())
    if (declaration === undefined || listed.isErr) return undefined
    const own = listed.value.filter(instance => instance.team === team)
    forgetUnlisted(own)
    const observations = await Promise.all(own.map(instance => observeInstance(instance, declaration)))
    const relevant = observations.filter(({ versions }) => versions === undefined || versions.some(version => isWanted(version, declaration)))
    return {
      team,
      version: declaration.version,
      domains: declaration.domains,
      minInstances: declaration.minBackends,
      maxInstances: declaration.maxBackends,
      maxPriceMilliEuroPerHour: declaration.maxPriceMilliEuroPerHour,
      instances: relevant.map(({ instance }) => instance),
      requestsInSystem: relevant.reduce((sum, { requests }) => sum + requests, 0),
      reclaims
    }
  }

  return { observe }
}

/** Whether a version is the declared one or the target of the current version move. */
function isWanted (version: VersionId, { version: declared, move }: TeamDeclaration): boolean {
  return version === declared || version === move?.toVersion
}
