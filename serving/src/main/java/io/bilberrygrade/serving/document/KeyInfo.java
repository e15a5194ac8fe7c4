package io.bilberrygrade.serving.document;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes a key of a document. A key without a default is required unless it is optional. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface KeyInfo {
    /** Returns the meaning of the key, as one sentence. */
    String value();

    /** Returns the default as it would be written in the document. */
    String defaultValue() default "";

    /** Returns whether the key may be omitted although it has no default. */
    boolean optional() default false;
}
