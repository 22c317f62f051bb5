/** Backend servers of the versions of one service, which renew their registrations, and stop as the platform stops them after a move. */
import { startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import { backendEntryKey, createBackendEntry, createVersionHandler } from '../../test/platform-adapter/soak-deployment.ts'
import type { startPlatform } from '../../test/platform-adapter/platform-stand-in.ts'

const serversPerVersion = 3
const minProcessingMs = 10
const processingSpreadMs = 20
/** Renewals after whose absence the platform removes a registration. */
const missedRenewals = 3

export interface VersionedBackendsOptions {
  platform: Pick<Awaited<ReturnType<typeof startPlatform>>, 'put' | 'remove'>
  version: string
  renewalMs: number
  /** Share of the requests that fail. */
  failureRatio: number
  random: () => number
}

/** The backend servers of one version. */
export interface VersionedBackends {
  /** Writes the registrations of those that run. */
  register: () => Promise<void>
  /** Reports that they are leaving; they go on to serve. */
  drain: () => Promise<void>
  /** Ends their processes; the registrations are removed after three renewal intervals. */
  stop: () => Promise<void>
  /** Removes what a restore brought back of those that have stopped. */
  removeStopped: () => Promise<void>
  close: () => Promise<void>
}

/** Starts the servers of a version and registers them. */
export async function startVersionedBackends ({ platform, version, renewalMs, failureRatio, random }: VersionedBackendsOptions): Promise<VersionedBackends> {
  const startedAtMs = Date.now()
  const ids = Array.from({ length: serversPerVersion }, (_, index) => `i-${version}-${index + 1}`)
  const workMs = (): number => minProcessingMs + random() * processingSpreadMs
  const servers = await Promise.all(ids.map(async id => await startRawBackend(createVersionHandler(id, () => random() < failureRatio, workMs))))
  let sequence = 0
  let state: 'ready' | 'draining' = 'ready'
  let isStopped = false
  let removal: NodeJS.Timeout | undefined

  async function register (): Promise<void> {
    if (isStopped) return
    sequence += 1
    await Promise.all(servers.map(async ({ port }, index) => await platform.put(backendEntryKey(ids[index]!), createBackendEntry(port, state, sequence, startedAtMs, false, version))))
  }

  async function removeStopped (): Promise<void> {
    if (isStopped) await Promise.all(ids.map(async id => await platform.remove(backendEntryKey(id))))
  }

  const renewing = setInterval(register, renewalMs)
  await register()
  return {
    register,
    drain: async () => {
      state = 'draining'
      await register()
    },
    stop: async () => {
      if (isStopped) return
      isStopped = true
      clearInterval(renewing)
      for (const server of servers) server.crash()
      removal = setTimeout(removeStopped, missedRenewals * renewalMs)
    },
    removeStopped,
    close: async () => {
      clearInterval(renewing)
      clearTimeout(removal)
      await Promise.all(servers.map(async server => await server.close()))
    }
  }
}
