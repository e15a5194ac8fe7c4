package io.bilberrygrade.daemon;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/**
 * Installs a handler for SIGHUP, which terminates the process by default. The JDK's only signal API
 * is unsupported and causes a compiler warning, so it is called by reflection.
 */
final class HangupSignal {
    private static final Logger LOGGER = Logger.getLogger(HangupSignal.class);
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangupSignal() {}

    /** Runs the action on each SIGHUP, on a thread of the JVM. */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName(SIGNAL_CLASS);
            Class<?> handler = Class.forName(HANDLER_CLASS);
            Object proxy =
                    Proxy.newProxyInstance(
                            HangupSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (p, method, arguments) -> {
                                action.run();
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            LOGGER.warnf(e, "can't install a SIGHUP handler; SIGHUP will terminate the process");
        }
    }
}
