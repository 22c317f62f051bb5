/**
 * Runs the fleets of all declared teams. Each team has one duty, which one node
 * at a time holds, and one fleet, which is replaced when the declared version
 * changes.
 */
import type { BackendTable } from '../backends/table.ts'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import { createFleet, createLoadPermits } from '../fleet/index.ts'
import type { Fleet } from '../fleet/index.ts'
import type { InstanceId, TeamId, VersionId } from '../ids/index.ts'
import type { Duties, Duty } from '../leases/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Cloud } from '../platform/cloud/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { TeamDeclaration } from '../teams/index.ts'
import { engineProfileOf } from './engine-profiles.ts'
import { clientsOfInstance, createFleetObserver } from './fleet-observation.ts'

/** Store key of the permits for loading weights from the weight store. */
const loadPermitsKey = 'fleet/load-turns'
/** Number of concurrent loads that the weight store supports. */
const maxConcurrentLoads = 8
/** Maximum time until the cloud lists an instance whose start it accepted. Repeating a start under the same name doesn't start another instance. */
const maxCloudListLagMs = 10_000
/** Pause after a round that failed unexpectedly. */
const failedRoundDelayMs = 5_000

/** Options of `createFleetDuties`. */
export interface FleetDutiesOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  cloud: Cloud
  duties: Duties
  store: KeyValueStore
  table: BackendTable
  teams: () => Iterable<TeamDeclaration>
  findTeam: (team: TeamId) => TeamDeclaration | undefined
  /** Registers a listener that is called after each change of the declarations; returns a function that removes it. */
  onChange: (listener: () => void) => () => void
}

/** The running fleets. */
export interface FleetDuties {
  /** Stops the fleets and releases the duties. */
  close: () => Promise<void>
}

interface TeamFleet {
  version: VersionId
  close: () => Promise<void>
}

/** Name of a team's fleet duty. */
export function fleetDutyName (team: TeamId): string {
  return `fleet/${team}`
}

/** Starts the fleets of the declared teams. */
export function createFleetDuties (options: FleetDutiesOptions): FleetDuties {
  const { clock, log, metrics, cloud, duties, store, table, findTeam } = options
  const loadPermits = createLoadPermits({ clock, store, key: loadPermitsKey, maxConcurrent: maxConcurrentLoads })
  const fleets = new Map<TeamId, TeamFleet>()
  const endingFleets = new Map<TeamId, Promise<void>>()
  let closing = false

  function startTeam ({ team, version }: TeamDeclaration): TeamFleet {
    const closed = new AbortController()
    let duty: Duty = duties.campaign(fleetDutyName(team))

    /**
     * Called when a backend server has seen a larger fencing number than this
     * duty's. Releasing and acquiring the duty again yields a larger number.
     */
    async function renewDuty (): Promise<void> {
      await duty.close()
      if (!closed.signal.aborted) duty = duties.campaign(fleetDutyName(team))
    }

    async function drain (instance: InstanceId, _fencingNumber: number, deadlineAtMs: number): Promise<void> {
      const declaration = findTeam(team)
      const { engine, service } = clientsOfInstance(table, team, instance)
      const client = engine ?? service
      if (declaration === undefined || client === undefined) return
      const state = await client.state(deadlineAtMs)
      if (state.isErr) return logFailure('drain', instance, state.error)
      const { versions, loading, adapters } = state.value
      const window = duty.orderWindow(declaration.checksFencing)
      if (window === undefined) return
      const ordered = await client.order({
        fencingNumber: window.fencingNumber,
        wanted: { versions: [...versions, ...loading], adapters, role: 'drain' }
      }, Math.min(deadlineAtMs, window.deadlineAtMs))
      if (ordered.isOk) return
      logFailure('drain', instance, ordered.error)
      if (ordered.error.name === 'OrderFenced') await renewDuty()
    }

    const { observe } = createFleetObserver({ clock, cloud, table, team, findTeam })
    const fleet = createFleet({
      clock,
      log,
      metrics,
      cloud,
      lease: { fencingNumber: () => duty.fencingNumber() },
      loadPermits,
      observe,
      drain,
      slotsOf: machineClass => engineProfileOf(machineClass).slots,
      maxListLagMs: maxCloudListLagMs
    })
    const running = runUntilClosed(fleet, team, closed.signal)
    return {
      version,
      close: async () => {
        closed.abort()
        fleet.close()
        await running
        await duty.close()
      }
    }
  }

  function logFailure (operation: string, instance: InstanceId, { message }: CyclamenError): void {
    log('fleetCallFailed', { operation, instance, cause: message })
  }

  async function runUntilClosed (fleet: Fleet, team: TeamId, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await fleet.run()
      } catch (error) {
        log('fleetCallFailed', { operation: 'round', team, cause: String(error) })
        await clock.sleep(failedRoundDelayMs, signal)
      }
    }
  }

  /** Closes a fleet. The team's next fleet starts once the duty is released. */
  async function endFleet (team: TeamId, fleet: TeamFleet): Promise<void> {
    if (endingFleets.has(team)) return
    const ended = fleet.close()
    endingFleets.set(team, ended)
    await ended
    endingFleets.delete(team)
    fleets.delete(team)
    update()
  }

  function update (): void {
    if (closing) return
    for (const [team, fleet] of fleets) {
      if (findTeam(team)?.version !== fleet.version) endFleet(team, fleet)
    }
    for (const declaration of options.teams()) {
      if (!fleets.has(declaration.team)) fleets.set(declaration.team, startTeam(declaration))
    }
  }

  const stopListening = options.onChange(update)
  update()

  return {
    close: async () => {
      closing = true
      stopListening()
      await Promise.all([...fleets].map(([team, fleet]) => endingFleets.get(team) ?? fleet.close()))
    }
  }
}
