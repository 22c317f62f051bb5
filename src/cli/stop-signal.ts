/** Waits for a signal to stop the process. */

/** Resolves at the first SIGTERM or SIGINT and removes its handlers, so that a second signal ends the process. */
export function waitForStopSignal (): Promise<void> {
  return new Promise(resolve => {
    function stop (): void {
      process.off('SIGTERM', stop)
      process.off('SIGINT', stop)
      resolve()
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  })
}
