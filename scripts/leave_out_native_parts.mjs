/**
 * Native parts of libraries, which a bundle can't hold. Each library catches the
 * error and uses its own JavaScript; left to `require`, Node would print a warning
 * at every start.
 */
export const leaveOutNativeParts = {
  name: 'leave-out-native-parts',
  setup(build) {
    const filter = /^(msgpackr-extract|bufferutil|utf-8-validate)$/;
    build.onResolve({ filter }, ({ path: name }) => ({ path: name, namespace: 'native-part' }));
    build.onLoad({ filter: /.*/, namespace: 'native-part' }, ({ path: name }) => ({
      contents: `throw new Error('${name} is no part of the bundle');`,
      loader: 'js',
    }));
  },
};

/**
 * The part of the histograms' library that writes log files. It makes a number format of the
 * locale when it is loaded, which took a seventh of the processor time of a start; nothing
 * here writes such files.
 */
export const leaveOutHistogramLogs = {
  name: 'leave-out-histogram-logs',
  setup(build) {
    build.onResolve({ filter: /^\.\/HistogramLogWriter$/ }, ({ path: name }) => ({
      path: name,
      namespace: 'histogram-logs',
    }));
    build.onLoad({ filter: /.*/, namespace: 'histogram-logs' }, () => ({
      contents: 'exports.default = undefined;',
      loader: 'js',
    }));
  },
};
