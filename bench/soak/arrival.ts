/** What the checks of a soak run know of the requests at backend servers. */

/** A request that reached one start of a backend server. */
export interface Arrival {
  request: string
  backend: string
  startedAtMs: number
  /** Pause that the backend server asked for in its response. */
  pauseSeconds: number | undefined
  /** The limit that the backend server named at that time, and the time since which it named it; undefined without one. */
  limit?: { perSecond: number, sinceMs: number } | undefined
  /** Whether the connections to the backend server were disturbed shortly before. */
  isDisturbed: boolean
  atMs: number
}
