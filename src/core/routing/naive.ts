/**
 * A naive router, the baseline of differential tests and measurements. It chooses
 * the backend server with the lowest load in its last report, ignores prefixes and
 * deadlines, and doesn't account for its own attempts since that report. Up to three
 * retries follow a failure, on any backend server.
 */
import { err, ok } from 'true-myth/result'
import type { Backend, LoadReport } from '../backends/types.ts'
import type { BackendId } from '../ids/index.ts'
import { candidatesOf, servesOwnTeam } from './candidates.ts'
import { drawVersion } from './version-draw.ts'
import type { RouteRequest, Router, RouterOptions } from './types.ts'

/** Number of retries in the naive baseline, whatever the reason of the failure. */
export const naiveRetries = 3

/** Creates a router that considers only the last load reports. */
export function createNaiveRouter (options: RouterOptions): Router {
  const { clock, metrics, hasher, random, mayServe = servesOwnTeam } = options
  const reports = new Map<BackendId, LoadReport>()

  function reportedLoadOf (backend: Backend): number {
    const report = reports.get(backend.id)
    return report === undefined ? 0 : report.running + report.waiting
  }

  function pickLeastLoaded (live: readonly Backend[]): Backend | undefined {
    const lowestLoad = Math.min(...live.map(reportedLoadOf))
    const leastLoadedBackends = live.filter(backend => reportedLoadOf(backend) === lowestLoad)
    return leastLoadedBackends[Math.floor(random() * leastLoadedBackends.length)]
  }

  function choose (request: RouteRequest, backends: readonly Backend[]): ReturnType<Router['choose']> {
    const version = request.requiredVersion ?? drawVersion(request.request, request.shares, hasher)
    const live = version === undefined ? [] : candidatesOf(request, version, backends, mayServe)
    const backend = pickLeastLoaded(live)
    if (backend === undefined) {
      metrics.countRefusal('no-backend')
      return err({ reason: 'no-backend', run: 'not-run', retryAtMs: clock.wallMs(), detail: 'No backend server is live.' })
    }
    return ok({
      backend,
      version: backend.version,
      reason: 'least-cost',
      promptTokens: request.prompt?.tokens ?? 0,
      expectedCachedTokens: 0,
      fetchFrom: undefined,
      expectedFirstTokenMs: 0,
      prefillMs: 0,
      requestsAhead: reports.get(backend.id)?.running ?? 0,
      prompt: request.prompt
    })
  }

  return {
    choose,
    onAttemptSent: () => {},
    onFirstToken: () => {},
    onFirstEvent: () => {},
    onAttemptEnded: () => {},
    onLoadReport: report => { reports.set(report.backend, report) },
    onPeerLoad: () => {},
    localLoads: () => new Map(),
    recentPrefixes: () => [],
    onPeerPrefixes: () => {},
    onCacheEvents: () => {},
    removeBackend: backend => { reports.delete(backend) },
    close: () => reports.clear()
  }
}
